#include "zinnia_adapters/platform/http_instance_list.h"

#include <boost/json.hpp>

#include <utility>

#include "zinnia_adapters/http/http_client.h"
#include "zinnia_adapters/platform/json_fields.h"

namespace zinnia {
namespace {

constexpr unsigned kOk = 200;

AcceleratorKind ReadAccelerator(const JsonFields& fields) {
  const std::string name =
      fields.TextOr("accelerator", std::string(NameOf(AcceleratorKind::kLarge)));
  const auto kind = AcceleratorKindFromName(name);
  if (!kind) {
    throw ErrorException(
        MakeError(ErrorKind::kInternal, "instance list: unknown accelerator \"" + name + "\""));
  }
  return *kind;
}

ListedServer ReadServer(const JsonFields& fields) {
  ListedServer listed;
  listed.server.name = fields.Text("name");
  listed.server.address = NetworkAddress::Parse(fields.Text("address")).value();
  listed.server.failure_domain = fields.Text("failure_domain");
  listed.server.accelerator = ReadAccelerator(fields);
  listed.server.pool = fields.TextOr("pool", "");
  listed.server.incarnation = fields.Number("incarnation");
  listed.server.checks_fencing = fields.FlagOr("checks_fencing", false);
  listed.leaving = fields.FlagOr("leaving", false);
  return listed;
}

Instance ReadInstance(const JsonFields& fields) {
  return {fields.Text("name"), NetworkAddress::Parse(fields.Text("peer_address")).value(),
          fields.Text("failure_domain"), fields.Text("region"), fields.Number("start")};
}

InstanceListing ReadListing(const JsonFields& fields) {
  InstanceListing listing;
  for (const auto& row : fields.Array("servers")) {
    listing.servers.push_back(ReadServer(JsonFields(row)));
  }
  for (const auto& row : fields.Array("instances")) {
    listing.instances.push_back(ReadInstance(JsonFields(row)));
  }
  return listing;
}

Result<InstanceListing> ListingOf(const HttpResult& result) {
  if (result.has_error()) {
    return MakeError(ErrorKind::kStoreUnavailable, "instance list: " + result.error().message);
  }
  if (result->status != kOk) {
    return MakeError(ErrorKind::kStoreUnavailable,
                     "instance list: status " + std::to_string(result->status));
  }
  return ParseAnswer(result->body, ErrorKind::kStoreUnavailable, &ReadListing);
}

}  // namespace

HttpInstanceList::HttpInstanceList(std::shared_ptr<HttpClient> client,
                                   NetworkAddress address,
                                   Duration time_limit)
    : m_client(std::move(client)), m_address(std::move(address)), m_time_limit(time_limit) {}

void HttpInstanceList::Read(Callback callback) {
  HttpRequest request;
  request.target = "/instances";
  request.repeatable = true;
  m_client->Send(
      m_address, std::move(request), m_time_limit,
      [callback = std::move(callback)](const HttpResult& result) { callback(ListingOf(result)); });
}

}  // namespace zinnia
