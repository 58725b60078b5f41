#include "zinnia_adapters/peers/peer_codec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include "zinnia_adapters/peers/peer_authenticator.h"
#include "zinnia_adapters/peers/wire_conversion.h"

namespace zinnia {
namespace {

constexpr std::size_t kLargestPackedBytes = kLargestDatagramBytes - PeerAuthenticator::kCodeBytes;

/** A packed datagram of a few KB can name megabytes of zeros, and pointers in it can name the same
    bytes many times over. Both are cut off here: seen as memory and time that one small datagram
    costs. In words of 8 bytes. */
constexpr std::uint64_t kMostWords = 16'384;
constexpr int kDeepestNesting = 8;

capnp::ReaderOptions DatagramLimits() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kMostWords;
  options.nestingLimit = kDeepestNesting;
  return options;
}

Error Unreadable(const std::string& why) {
  return MakeError(ErrorKind::kInvalidRequest, "probe datagram: " + why);
}

}  // namespace

Result<std::string> EncodeProbe(const ProbeMessage& message) {
  capnp::MallocMessageBuilder builder;
  wire_conversion::Write(builder.initRoot<wire::Probe>(), message);
  kj::VectorOutputStream output;
  capnp::writePackedMessage(output, builder);
  const auto bytes = output.getArray().asChars();
  if (bytes.size() > kLargestPackedBytes) {
    return MakeError(ErrorKind::kPayloadTooLarge,
                     "probe of " + std::to_string(bytes.size()) + " bytes; send fewer rumours");
  }
  return std::string(bytes.begin(), bytes.size());
}

Result<ProbeMessage> DecodeProbe(std::string_view bytes) {
  try {
    kj::ArrayInputStream input(kj::ArrayPtr<const kj::byte>(
        reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::PackedMessageReader reader(input, DatagramLimits());
    ProbeMessage message = wire_conversion::Read(reader.getRoot<wire::Probe>());
    if (input.tryGetReadBuffer().size() > 0) {
      return Unreadable("bytes after its end");
    }
    return message;
  } catch (const kj::Exception& failure) {
    return Unreadable(failure.getDescription().cStr());
  } catch (const ErrorException& failure) {
    return failure.GetError();
  }
}

}  // namespace zinnia
