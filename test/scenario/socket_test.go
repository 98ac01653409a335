package scenario_test

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

const establishedState = "01" // of /proc/net/tcp

// ownerOf returns the process that has the client's end of a loopback connection, or "".
func ownerOf(client, server net.Addr, processes map[int]string) string {
	inode := socketInode(client, server)
	if inode == "" {
		return ""
	}
	want := "socket:[" + inode + "]"
	for pid, name := range processes {
		directory := filepath.Join("/proc", strconv.Itoa(pid), "fd")
		entries, err := os.ReadDir(directory)
		if err != nil {
			continue
		}
		for _, e := range entries {
			if held, err := os.Readlink(filepath.Join(directory, e.Name())); err == nil && held == want {
				return name
			}
		}
	}
	return ""
}

// socketInode finds the client's socket in the kernel's table.
func socketInode(client, server net.Addr) string {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = file.Close() }()
	from, to := endpoint(client), endpoint(server)
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) > 9 && fields[1] == from && fields[2] == to && fields[3] == establishedState {
			return fields[9]
		}
	}
	return ""
}

// endpoint writes an IPv4 address as /proc/net/tcp does.
func endpoint(a net.Addr) string {
	tcp, ok := a.(*net.TCPAddr)
	if !ok {
		return ""
	}
	ip := tcp.IP.To4()
	if ip == nil {
		return ""
	}
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
}
