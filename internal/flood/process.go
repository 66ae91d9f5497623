package flood

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// Process measures a process of this machine by its ID. What has arrived for a process and was not read counts as its memory too, also on connections that it has
// not accepted yet.
type Process struct{ ID int }

// Descriptors returns the number of open descriptors, and fails the test if the process has ended.
func (p Process) Descriptors(t testing.TB) int {
	t.Helper()
	open, err := os.ReadDir(p.path("fd"))
	if err != nil {
		t.Fatalf("process %d has ended: %v", p.ID, err)
	}
	return len(open)
}

func (p Process) path(name string) string { return filepath.Join("/proc", strconv.Itoa(p.ID), name) }

// AwaitAccepted returns once the process has accepted the connections that wait for it, or has as many descriptors open as it may. It fails the test if neither comes.
func (p Process) AwaitAccepted(t testing.TB, descriptors int) {
	t.Helper()
	for until := time.Now().Add(acceptTimeout); ; time.Sleep(unreadInterval) {
		queues, err := p.queues()
		if err != nil {
			t.Fatalf("process %d has ended: %v", p.ID, err)
		}
		if queues.waiting == 0 || p.Descriptors(t) >= descriptors {
			return
		}
		if time.Now().After(until) {
			t.Fatalf("%d connections wait to be accepted, with %d of %d descriptors open", queues.waiting, p.Descriptors(t), descriptors)
		}
	}
}

// Unread returns the bytes that have arrived for the process and that it has not read.
func (p Process) Unread() (int64, error) {
	q, err := p.queues()
	return q.unread, err
}

// queues is what waits for a process.
type queues struct {
	unread  int64 // bytes
	waiting int   // connections that it has not accepted
}

func (p Process) queues() (queues, error) {
	var q queues
	own, err := p.sockets()
	if err != nil {
		return q, err
	}
	for _, file := range []string{"net/tcp", "net/tcp6"} {
		table, err := os.ReadFile(p.path(file))
		if err != nil {
			return q, err
		}
		q.add(string(table), own)
	}
	return q, nil
}

const (
	unreadInterval = 20 * time.Millisecond // between two measures
	acceptTimeout  = 20 * time.Second
)

// WatchUnread measures Unread until the returned function is called, which returns the most that there was. The test fails if the process ends meanwhile.
func (p Process) WatchUnread(t testing.TB) (most func() int64) {
	end := make(chan struct{})
	result := make(chan int64, 1)
	go func() {
		var highest int64
		defer func() { result <- highest }()
		for {
			unread, err := p.Unread()
			if err != nil {
				t.Errorf("process %d has ended: %v", p.ID, err)
				return
			}
			highest = max(highest, unread)
			select {
			case <-end:
				return
			case <-time.After(unreadInterval):
			}
		}
	}()
	return sync.OnceValue(func() int64 {
		close(end)
		return <-result
	})
}

// sockets returns the inodes of the sockets that the process has open.
func (p Process) sockets() (map[string]bool, error) {
	open, err := os.ReadDir(p.path("fd"))
	if err != nil {
		return nil, err
	}
	own := make(map[string]bool)
	for _, d := range open {
		target, err := os.Readlink(filepath.Join(p.path("fd"), d.Name()))
		if err != nil {
			continue // closed meanwhile
		}
		if inode, found := strings.CutPrefix(target, "socket:["); found {
			own[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return own, nil
}

// The columns of the kernel's table of sockets.
const (
	columnLocal  = 1
	columnState  = 3
	columnQueues = 4 // bytes to send and bytes to read
	columnInode  = 9

	stateListening   = "0A" // its queue to read counts connections
	stateEstablished = "01"
	notAccepted      = "0" // the inode of such a connection
)

// add adds what a table of the kernel says of a process with these sockets, and of connections to its listeners.
func (q *queues) add(table string, own map[string]bool) {
	var rows [][]string
	listening := make(map[string]bool)
	for line := range strings.Lines(table) {
		row := strings.Fields(line)
		if len(row) <= columnInode {
			continue
		}
		rows = append(rows, row)
		if row[columnState] == stateListening && own[row[columnInode]] {
			listening[row[columnLocal]] = true
		}
	}
	for _, row := range rows {
		waits := row[columnInode] == notAccepted && listening[row[columnLocal]]
		if row[columnState] == stateListening || !waits && !own[row[columnInode]] {
			continue
		}
		if waits && row[columnState] == stateEstablished {
			q.waiting++
		}
		_, queue, _ := strings.Cut(row[columnQueues], ":")
		bytes, _ := strconv.ParseInt(queue, 16, 64) // the heading is no number
		q.unread += bytes
	}
}

// SystemMemory returns the most memory that the Go runtime of a process ever had from the system, in bytes, from the process's metrics. The detector of data races
// takes memory of its own, which is not in it.
func SystemMemory(metrics io.Reader) (int64, error) {
	for lines := bufio.NewScanner(metrics); lines.Scan(); {
		if value, found := strings.CutPrefix(lines.Text(), "go_memstats_sys_bytes "); found {
			bytes, err := strconv.ParseFloat(value, 64)
			return int64(bytes), err
		}
	}
	return 0, fmt.Errorf("the metrics do not tell the memory")
}
