#include "persimmonrail/http/listener_drain.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <array>

namespace persimmonrail {
namespace {

// The filter sees a TCP segment from its header on, for IPv4 and IPv6.
constexpr uint32_t tcpFlagsOffset = 13;
constexpr uint32_t synFlag = 0x02;
constexpr uint32_t wholeSegment = 0xffff;

} // namespace

bool dropConnectionAttempts(Poco::Net::ServerSocket &listener)
{
    std::array<sock_filter, 4> code{{
        {BPF_LD | BPF_B | BPF_ABS, 0, 0, tcpFlagsOffset},
        {BPF_JMP | BPF_JSET | BPF_K, 0, 1, synFlag},
        {BPF_RET | BPF_K, 0, 0, 0},
        {BPF_RET | BPF_K, 0, 0, wholeSegment},
    }};
    const sock_fprog program{static_cast<unsigned short>(code.size()), code.data()};
    return ::setsockopt(listener.impl()->sockfd(), SOL_SOCKET, SO_ATTACH_FILTER, &program,
                        sizeof(program))
        == 0;
}

} // namespace persimmonrail
