#include "persimmonrail/http/connection_poller.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <system_error>

namespace persimmonrail {
namespace {

// Maximum number of events that one wait() reports. The next wait() reports the remaining events,
// so that a listener waits for few connections at a time.
constexpr size_t eventsPerWait = 16;

// Returns `descriptor`. Throws std::system_error with the name of the failed function if
// `descriptor` is negative.
int requireDescriptor(int descriptor, const char *functionName)
{
    if (descriptor < 0) {
        throw std::system_error(errno, std::generic_category(), functionName);
    }
    return descriptor;
}

} // namespace

connection_poller::connection_poller()
    : m_epoll(requireDescriptor(::epoll_create1(EPOLL_CLOEXEC), "epoll_create1"))
    , m_wakeEvent(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    epoll_event event{};
    event.events = EPOLLIN;
    // wait() recognizes m_wakeEvent by the null context.
    event.data.ptr = nullptr;
    if (m_wakeEvent < 0 || ::epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wakeEvent, &event) != 0) {
        const int error = errno;
        ::close(m_epoll);
        throw std::system_error(error, std::generic_category(), "eventfd");
    }
}

connection_poller::~connection_poller()
{
    ::close(m_wakeEvent);
    ::close(m_epoll);
}

bool connection_poller::setInterest(int operation, int descriptor, void *context)
{
    epoll_event event{};
    event.events = EPOLLIN | EPOLLRDHUP | EPOLLONESHOT;
    event.data.ptr = context;
    return ::epoll_ctl(m_epoll, operation, descriptor, &event) == 0;
}

bool connection_poller::add(int descriptor, void *context)
{
    return setInterest(EPOLL_CTL_ADD, descriptor, context);
}

bool connection_poller::rearm(int descriptor, void *context)
{
    return setInterest(EPOLL_CTL_MOD, descriptor, context);
}

void connection_poller::remove(int descriptor)
{
    ::epoll_ctl(m_epoll, EPOLL_CTL_DEL, descriptor, nullptr);
}

void connection_poller::wake()
{
    ::eventfd_write(m_wakeEvent, 1);
}

void connection_poller::wait(milliseconds timeout, std::vector<void *> &contexts)
{
    contexts.clear();
    std::array<epoll_event, eventsPerWait> events{};
    const int count = ::epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()),
                                   static_cast<int>(timeout.count()));
    for (int i = 0; i < count; ++i) {
        if (events[i].data.ptr != nullptr) {
            contexts.push_back(events[i].data.ptr);
            continue;
        }
        eventfd_t wakeCount = 0;
        ::eventfd_read(m_wakeEvent, &wakeCount);
    }
}

} // namespace persimmonrail
