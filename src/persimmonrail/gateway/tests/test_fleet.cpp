#include "test_fleet.h"

#include "persimmonrail/base/header_names.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/StreamCopier.h>

#include <catch2/catch.hpp>

namespace persimmonrail {
namespace {

constexpr uint64_t testTerm = 7;

class test_ticket : public lease_ticket
{
public:
    const std::string &partition() const override { return m_partition; }
    uint64_t term() const override { return testTerm; }
    steady_time leaseEnd() const override { return std::chrono::steady_clock::now() + testTimeout; }

private:
    const std::string m_partition = "standin/all";
};

} // namespace

test_fleet::test_fleet()
{
    m_record.version = 1;
    m_record.record.partition = "standin/all";
    m_record.record.range = {0, UINT64_MAX};
    m_record.record.term = testTerm;
}

std::shared_ptr<const service_document> test_fleet::makeDocument(const std::string &service) const
{
    auto result = std::make_shared<service_document>();
    result->service = service;
    if (service == "standin") {
        // Segment 1 of the path after the service name: "/records/<key>".
        result->key = key_rule{key_source::PathSegment, 1, ""};
        result->partitions = 1;
    }
    result->ranks = {{"urgent", milliseconds(10), 1, 0}, {"bulk", milliseconds(100), 1, 0}};
    // The last field tells whether the operation is repeatable.
    result->operations = {
        {"close", "GET", "/records/closing", "urgent", m_timeout, false},
        {"write", "PUT", "/records", "urgent", m_timeout, true},
        {"read", "GET", "/records", "bulk", m_timeout, true},
        {"credit", "POST", "/records", "urgent", m_timeout, false},
    };
    return result;
}

void test_fleet::publish()
{
    auto view = std::make_shared<fleet_view>();
    view->revision = 1;
    view->members = m_members;
    view->documents["standin"] = makeDocument("standin");
    view->documents["photos"] = makeDocument("photos");
    const auto record = view->records.emplace(m_record.record.partition, m_record).first;
    view->recordsByService["standin"] = {&record->second};
    m_view = std::move(view);
}

test_fleet::daemon &test_fleet::add(const std::string &name, const std::string &service,
                                    const std::function<void(daemon &)> &configure)
{
    daemon &added = *m_daemons.emplace_back(std::make_unique<daemon>());
    added.name = name;
    added.options.instance = name;
    added.hooks.view = [this] { return m_view.load(); };
    added.hooks.localLease = [&added](std::string_view, uint64_t,
                                      steady_time) -> std::unique_ptr<lease_ticket> {
        if (added.onLeaseLookup) {
            added.onLeaseLookup();
        }
        return added.holdsLease ? std::make_unique<test_ticket>() : nullptr;
    };
    added.hooks.holderHint = [&added](std::string_view, uint64_t) { return added.holderHint; };
    if (configure) {
        configure(added);
    }
    added.router = std::make_unique<request_router>(
        added.options, added.hooks, added.upstreamClient, added.log, added.counters);
    added.callerServer = *caller_server::listen({}, *added.router);
    added.peerServer = *peer_server::listen({}, *added.router);
    if (!service.empty()) {
        upstream_standin_options options;
        options.service = service;
        options.instance = name;
        options.checksGrants = service == "standin";
        added.standin = *upstream_standin::start(options);
        const steady_time now = std::chrono::steady_clock::now();
        // The announcement is valid for the whole test, since the stand-in does not renew it.
        REQUIRE(
            added.upstreamClient.announce(added.standin->announcement(), now + testTimeout).ok());
        REQUIRE(added.upstreamClient
                    .pushGrants({{"standin/all", testTerm, {0, UINT64_MAX}}}, testTimeout, now)
                    .ok());
    }
    member_record member;
    member.id = {name, 1};
    member.service = service;
    member.peerAddress = added.peerServer->address();
    m_members[name] = member;
    publish();
    return added;
}

void test_fleet::setPlacement(const std::string &owner, const std::vector<std::string> &standbys)
{
    m_record.record.owner = {owner, 1};
    m_record.record.standbys.clear();
    for (const std::string &standby : standbys) {
        m_record.record.standbys.push_back({standby, 1});
    }
    publish();
}

void test_fleet::setPeerAddress(const std::string &name, const std::string &address)
{
    m_members[name].peerAddress = address;
    publish();
}

caller_response call(const std::string &address, const std::string &method, const std::string &uri,
                     const std::string &body, const std::vector<std::string> &fields)
{
    Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
    session.setTimeout(Poco::Timespan(60, 0));
    Poco::Net::HTTPRequest request(method, uri, Poco::Net::HTTPMessage::HTTP_1_1);
    for (const std::string &field : fields) {
        const size_t separator = field.find(": ");
        request.add(field.substr(0, separator), field.substr(separator + 2));
    }
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    caller_response response;
    session.sendRequest(request) << body << std::flush;
    std::istream &input = session.receiveResponse(response.head);
    Poco::StreamCopier::copyToString(input, response.body);
    response.status = response.head.getStatus();
    response.outcome = response.head.get(outcomeHeader, "");
    response.reason = response.head.get(reasonHeader, "");
    response.isComplete =
        response.head.getContentLength() == static_cast<std::streamsize>(response.body.size());
    return response;
}

} // namespace persimmonrail
