#include "zinnia_adapters/settings/text_file.h"

#include <fmt/format.h>

#include <fstream>
#include <iterator>

namespace zinnia {
namespace {

constexpr std::size_t kMostBytes = 1'048'576;
constexpr std::size_t kLeastSecretBytes = 16;
constexpr const char* kWhiteSpace = " \t\r\n";

Error FileError(std::string message, std::string remedy) {
  Error error = MakeError(ErrorKind::kInvalidSettings, std::move(message));
  error.remedy = std::move(remedy);
  return error;
}

std::string Trimmed(const std::string& text) {
  const auto first = text.find_first_not_of(kWhiteSpace);
  const auto last = text.find_last_not_of(kWhiteSpace);
  return first == std::string::npos ? std::string() : text.substr(first, last - first + 1);
}

}  // namespace

Result<std::string> ReadTextFile(const std::string& file_name) {
  std::ifstream file(file_name, std::ios::binary);
  std::string text(kMostBytes + 1, '\0');
  if (!file || (file.read(text.data(), static_cast<std::streamsize>(text.size())), file.bad())) {
    return FileError(fmt::format("cannot read {}", file_name),
                     "name a file that exists and that this user may read");
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  if (text.size() > kMostBytes) {
    return FileError(fmt::format("{} is larger than {} bytes", file_name, kMostBytes),
                     "name the right file");
  }
  return text;
}

Result<std::string> ReadSecretFile(const std::string& field, const std::string& file_name) {
  Result<std::string> text = ReadTextFile(file_name);
  if (!text) {
    Error error = text.error();
    error.message = field + ": " + error.message;
    return error;
  }
  Result<std::string> secret = Trimmed(*text);
  if (secret->size() < kLeastSecretBytes) {
    return FileError(
        fmt::format("{}: {} holds fewer than {} bytes", field, file_name, kLeastSecretBytes),
        "write a random secret of at least 16 characters into the file");
  }
  return secret;
}

}  // namespace zinnia
