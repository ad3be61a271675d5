#include "persimmonrail/http/connection_watch.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <system_error>

namespace persimmonrail {
namespace {

// Events taken by one wait; more are reported by the next one.
constexpr size_t eventsPerWait = 64;

int checked(int descriptor, const char *what)
{
    if (descriptor < 0) {
        throw std::system_error(errno, std::generic_category(), what);
    }
    return descriptor;
}

} // namespace

connection_watch::connection_watch()
    : m_epoll(checked(::epoll_create1(EPOLL_CLOEXEC), "epoll_create1"))
    , m_wake(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.ptr = nullptr;
    if (m_wake < 0 || ::epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wake, &event) != 0) {
        const int error = errno;
        ::close(m_epoll);
        throw std::system_error(error, std::generic_category(), "eventfd");
    }
}

connection_watch::~connection_watch()
{
    ::close(m_wake);
    ::close(m_epoll);
}

bool connection_watch::control(int operation, int descriptor, void *owner)
{
    epoll_event event{};
    event.events = EPOLLIN | EPOLLRDHUP | EPOLLONESHOT;
    event.data.ptr = owner;
    return ::epoll_ctl(m_epoll, operation, descriptor, &event) == 0;
}

bool connection_watch::add(int descriptor, void *owner)
{
    return control(EPOLL_CTL_ADD, descriptor, owner);
}

bool connection_watch::rearm(int descriptor, void *owner)
{
    return control(EPOLL_CTL_MOD, descriptor, owner);
}

void connection_watch::remove(int descriptor)
{
    ::epoll_ctl(m_epoll, EPOLL_CTL_DEL, descriptor, nullptr);
}

void connection_watch::wake()
{
    ::eventfd_write(m_wake, 1);
}

void connection_watch::wait(milliseconds time, std::vector<void *> &owners)
{
    owners.clear();
    std::array<epoll_event, eventsPerWait> events{};
    const int count = ::epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()),
                                   static_cast<int>(time.count()));
    for (int i = 0; i < count; ++i) {
        if (events[i].data.ptr != nullptr) {
            owners.push_back(events[i].data.ptr);
            continue;
        }
        eventfd_t ignored = 0;
        ::eventfd_read(m_wake, &ignored);
    }
}

} // namespace persimmonrail
