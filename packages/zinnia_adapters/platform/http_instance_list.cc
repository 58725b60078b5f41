#include "zinnia_adapters/platform/http_instance_list.h"

#include <boost/json.hpp>

#include <optional>
#include <string_view>
#include <utility>

#include "zinnia_adapters/http/http_client.h"
#include "zinnia_adapters/platform/json_fields.h"
#include "zinnia_adapters/platform/json_rows.h"

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

NetworkAddress ReadAddress(const JsonFields& fields, std::string_view name) {
  NetworkAddress address = NetworkAddress::Parse(fields.Text(name)).value();
  if (address.port == 0) {
    throw ErrorException(MakeError(ErrorKind::kInternal, "instance list: port 0"));
  }
  return address;
}

ListedServer ReadServer(const JsonFields& fields) {
  ListedServer listed;
  listed.server.name = fields.Text("name");
  listed.server.address = ReadAddress(fields, "address");
  listed.server.failure_domain = fields.Text("failure_domain");
  listed.server.accelerator = ReadAccelerator(fields);
  listed.server.pool = fields.TextOr("pool", "");
  listed.server.incarnation = fields.Number("incarnation");
  listed.server.checks_fencing = fields.FlagOr("checks_fencing", false);
  listed.leaving = fields.FlagOr("leaving", false);
  return listed;
}

Instance ReadInstance(const JsonFields& fields) {
  return {fields.Text("name"), ReadAddress(fields, "peer_address"), fields.Text("failure_domain"),
          fields.Text("region"), fields.Number("start")};
}

/** The name in a row that cannot be read otherwise. */
std::optional<BackendServerName> FindName(const boost::json::value& row) {
  const auto* object = row.if_object();
  const auto* name = object == nullptr ? nullptr : object->if_contains("name");
  return name != nullptr && name->is_string() ? std::optional(BackendServerName(name->get_string()))
                                              : std::nullopt;
}

InstanceListing ReadListing(const JsonFields& fields) {
  InstanceListing listing;
  for (const auto& row : fields.Array("servers")) {
    try {
      listing.servers.push_back(ReadServer(JsonFields(row)));
    } catch (const ErrorException& failure) {
      listing.faults.push_back(failure.GetError().message);
      if (auto name = FindName(row)) {
        listing.unreadable_servers.push_back(std::move(*name));
      }
    }
  }
  for (const auto& row : fields.Array("instances")) {
    try {
      listing.instances.push_back(ReadInstance(JsonFields(row)));
    } catch (const ErrorException& failure) {
      listing.faults.push_back(failure.GetError().message);
    }
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
  auto listing = ParseAnswer(result->body, ErrorKind::kStoreUnavailable, &ReadListing);
  return listing ? listing
                 : ParseAnswer(ReplaceUnreadableRows(result->body), ErrorKind::kStoreUnavailable,
                               &ReadListing);
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
