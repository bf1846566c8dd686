"""Counts the bytes carried by the TCP connections of a process, using the kernel's sock_diag interface.

The counters of the loopback interface include the traffic of every process, so they are useless on a shared host. UDP
sockets have no such counters.
"""

import os
import re
import socket
import struct

NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLMSG_ERROR, NLMSG_DONE = 2, 3
DUMP_REQUEST = 0x301  # NLM_F_REQUEST | NLM_F_DUMP
INET_DIAG_INFO = 2
HEADER_BYTES = 16
MESSAGE_BYTES = 72  # struct inet_diag_msg
INODE_OFFSET = 68
ACKED_OFFSET = 120  # of tcpi_bytes_acked in struct tcp_info; tcpi_bytes_received follows


def _socket_inodes(pid):
    inodes = set()
    directory = f"/proc/{pid}/fd"
    for entry in os.listdir(directory):
        try:
            found = re.match(r"socket:\[(\d+)\]", os.readlink(os.path.join(directory, entry)))
        except OSError:
            continue
        if found:
            inodes.add(int(found.group(1)))
    return inodes


def _attributes(data):
    while len(data) >= 4:
        length, kind = struct.unpack_from("=HH", data)
        if length < 4:
            return
        yield kind, data[4:length]
        data = data[(length + 3) & ~3:]


def _tcp_byte_counts():
    """Returns (bytes sent and acknowledged, bytes received) of every TCP connection, by inode."""
    request = struct.pack("=BBBxI48x", socket.AF_INET, socket.IPPROTO_TCP, 1 << (INET_DIAG_INFO - 1), 0xFFFFFFFF)
    header = struct.pack("=IHHII", HEADER_BYTES + len(request), SOCK_DIAG_BY_FAMILY, DUMP_REQUEST, 1, 0)
    counts = {}
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as diag:
        diag.send(header + request)
        while True:
            data = diag.recv(1 << 20)
            while len(data) >= HEADER_BYTES:
                length, kind = struct.unpack_from("=IH", data)
                if kind in (NLMSG_DONE, NLMSG_ERROR):
                    return counts
                message = data[HEADER_BYTES:length]
                inode = struct.unpack_from("=I", message, INODE_OFFSET)[0]
                for attribute, value in _attributes(message[MESSAGE_BYTES:]):
                    if attribute == INET_DIAG_INFO and len(value) >= ACKED_OFFSET + 16:
                        counts[inode] = struct.unpack_from("=QQ", value, ACKED_OFFSET)
                data = data[(length + 3) & ~3:]


def tcp_bytes(pids):
    """Returns, by process id, the bytes sent and received by its open TCP connections since they were opened."""
    counts = _tcp_byte_counts()
    totals = {}
    for pid in pids:
        owned = [counts[inode] for inode in _socket_inodes(pid) if inode in counts]
        totals[pid] = sum(sent + received for sent, received in owned)
    return totals
