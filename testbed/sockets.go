package testbed

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/wardspool/wardspool/ident"
)

// zoneLookupTimeout bounds the search for the process that opened a connection: the
// zone of a process that has just started may not be recorded yet.
const zoneLookupTimeout = 500 * time.Millisecond

// zoneOf returns the zone of the process that opened a connection, "" if it does not
// belong to the fleet. It looks the connection up in the kernel's socket table, so
// that it need not parse any protocol.
func (f *Fleet) zoneOf(c net.Conn) ident.Zone {
	for deadline := time.Now().Add(zoneLookupTimeout); ; time.Sleep(pollInterval) {
		if inode, ok := socketInode(c.RemoteAddr(), c.LocalAddr()); ok {
			if zone, ok := f.zoneOfSocket(inode); ok {
				return zone
			}
		}
		if time.Now().After(deadline) {
			return ""
		}
	}
}

// zoneOfSocket returns the zone of the process that has the socket open.
func (f *Fleet) zoneOfSocket(inode string) (zone ident.Zone, found bool) {
	link := "socket:[" + inode + "]"
	f.zones.Range(func(pid, in any) bool {
		if hasFileOpen(pid.(int), link) {
			zone, found = in.(ident.Zone), true
		}
		return !found
	})
	return zone, found
}

// hasFileOpen reports whether a process has a file open, given the target of the
// file's link in /proc/PID/fd.
func hasFileOpen(pid int, link string) bool {
	dir := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	files, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, file := range files {
		if target, err := os.Readlink(filepath.Join(dir, file.Name())); err == nil && target == link {
			return true
		}
	}
	return false
}

// Column indexes of /proc/net/tcp.
const (
	columnLocal  = 1
	columnRemote = 2
	columnInode  = 9
)

// socketInode returns the inode of the socket with the given endpoints from the
// kernel's socket table.
func socketInode(local, remote net.Addr) (inode string, found bool) {
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return "", false
	}
	defer func() { _ = table.Close() }()
	lines := bufio.NewScanner(table)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) > columnInode && fields[columnLocal] == hexAddress(local) && fields[columnRemote] == hexAddress(remote) {
			return fields[columnInode], fields[columnInode] != "0"
		}
	}
	return "", false
}

// hexAddress formats an IPv4 address as in /proc/net/tcp.
func hexAddress(a net.Addr) string {
	tcp, ok := a.(*net.TCPAddr)
	if !ok || tcp.IP.To4() == nil {
		return ""
	}
	ip := tcp.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
}
