// The part of router::state that writes changes of the placement for other daemons, and passes its
// own ones to the daemon that writes them.
#include "persimmonrail/router/router_state.h"

#include "persimmonrail/base/text.h"

#include <absl/strings/str_cat.h>

#include <random>
#include <thread>

namespace persimmonrail {
namespace {

// No owner waits longer for the response (placement_writer_client_options).
constexpr milliseconds changeBodyTimeout{300};
// Idle connections to writers; an owner asks at most two of them.
constexpr size_t maxIdleWriterConnections = 2;

// Returns a number that differs between processes. JSON numbers are exact only below 2^53.
uint64_t makeRunNumber()
{
    return std::mt19937_64(std::random_device()())() >> 12;
}

} // namespace

void router::state::addPlacementWriter()
{
    if (!m_settings.usesPlacementWriter) {
        return;
    }
    m_placementWriter = std::make_unique<placement_writer>(m_settings.service, makeRunNumber(),
                                                           m_store, makePlacementWriterHooks());
    m_writerHttpClient = std::make_unique<http_client>(std::make_shared<connection_pool>(
        connection_pool_options{1, maxIdleWriterConnections, milliseconds(5000), milliseconds(2000),
                                placement_writer_client_options().timeout, false}));
    m_writerClient = std::make_unique<placement_writer_client>(makeWriterClientHooks());
    m_metrics.addGauge("persimmonrail_placement_changes_queued",
                       [this] { return static_cast<double>(m_placementWriter->queuedChanges()); });
}

placement_writer_hooks router::state::makePlacementWriterHooks()
{
    placement_writer_hooks hooks;
    hooks.record = [this]() -> std::optional<fleet_directory::versioned_placement> {
        const std::lock_guard lock(m_mutex);
        const auto *record = m_directory->findPlacement(m_settings.service);
        const bool isPresent =
            record != nullptr && record->epoch == std::max(baseEpoch, m_directory->epoch());
        return isPresent ? std::optional(*record) : std::nullopt;
    };
    hooks.onObject = [this](const stored_object &object) {
        m_loop.post([this, object](steady_time) { applyObject(object); });
    };
    hooks.onBatch = [this](size_t changes, const placement_update_result &result) {
        onPlacementBatch(changes, result);
    };
    hooks.update.now = bootNow;
    hooks.update.pause = [](milliseconds time) { std::this_thread::sleep_for(time); };
    hooks.update.random = [engine = std::mt19937_64(std::random_device()())]() mutable {
        return engine();
    };
    return hooks;
}

placement_writer_client_hooks router::state::makeWriterClientHooks()
{
    placement_writer_client_hooks hooks;
    hooks.call = [this](const std::string &address, const std::string &method,
                        const std::string &body,
                        steady_time deadline) -> absl::StatusOr<simple_response> {
        if (address != m_settings.peerAddress) {
            return simpleRequest(*m_writerHttpClient, address, method, placementChangesPath, body,
                                 deadline);
        }
        auto response = servePlacementChange(*m_placementWriter, method, body);
        return response.ok() ? simple_response{200, std::move(*response)}
                             : simple_response{400, ""};
    };
    hooks.now = [] { return std::chrono::steady_clock::now(); };
    return hooks;
}

range_controller::hooks router::state::makeRangeHooks()
{
    range_controller::hooks hooks;
    hooks.onObject = [this](const stored_object &object) { applyObject(object); };
    hooks.onConnectionRefused = [this](const upstream_id &id) { onConnectionRefused(id); };
    if (m_writerClient != nullptr) {
        hooks.submitChange = [this](const owner_change &change,
                                    const std::vector<std::string> &writers) {
            return m_writerClient->submit(m_settings.service, change, writers);
        };
        hooks.onMoveWritten = [this](bool isWriterUsed) {
            m_metrics.count("persimmonrail_placement_changes_total",
                            isWriterUsed ? "path=\"writer\"" : "path=\"own\"");
        };
    }
    return hooks;
}

void router::state::onPlacementBatch(size_t changes, const placement_update_result &result)
{
    m_metrics.count("persimmonrail_placement_batches_total");
    m_log.write(log_level::Info,
                absl::StrCat("place service=", m_settings.service,
                             " reason=placement-writer changes=", changes,
                             " outcome=", toAbsl(toString(result.result)), " fence=", result.fence,
                             " conflicts=", result.conflicts,
                             " status=", result.status.ToString()));
}

void router::state::servePlacementChanges(server_exchange &exchange)
{
    std::string body;
    const io_status status = exchange.readAll(body, maxChangeBytes,
                                              std::chrono::steady_clock::now() + changeBodyTimeout);
    if (status != io_status::Ok) {
        exchange.closeAfterResponse();
        exchange.respond(400, "", "text/plain");
        return;
    }
    const auto response =
        servePlacementChange(*m_placementWriter, exchange.request().getMethod(), body);
    exchange.respond(response.ok() ? 200 : 400, response.ok() ? *response : "", "application/json");
}

} // namespace persimmonrail
