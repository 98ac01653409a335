package database

import (
	"context"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/database/driver"
)

// Server is a running server.
type Server struct {
	config  Config
	clients net.Listener
	peers   net.Listener
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	ending  sync.Once
	files   string // temporary directory of the SQLite files
	slots   chan struct{}
	faults  faults

	stopping    atomic.Bool
	serviceTime atomic.Int64
	lag         atomic.Int64
	statements  atomic.Uint64 // reads and writes of clients that got a slot

	mu            sync.Mutex
	log           *logFile
	promise       promise
	role          driver.Role
	contact       time.Time // of the last message from the primary
	organisations map[string]*organisation
	generation    uint64 // counts rebuilds of the SQLite files
	transactions  map[*transaction]struct{}
	demotions     uint64 // promises that were taken; each ends what was open
	followers     map[string]*follower
	replicated    uint64
	changed       chan struct{} // closed and replaced when the role or the replicated index changes
	locks         map[string]*session
	connections   int               // sessions that count towards the limit
	sockets       map[net.Conn]bool // true for clients
}

// Start opens the log, rebuilds the SQLite files and serves until Stop, Kill or the end of the context. Stop or
// Kill must be called in any case, to remove the files.
func Start(ctx context.Context, config Config) (*Server, error) {
	config = config.withDefaults()
	s := &Server{
		config: config, slots: make(chan struct{}, config.Slots), contact: time.Now(),
		transactions: map[*transaction]struct{}{}, followers: map[string]*follower{}, changed: make(chan struct{}),
		locks: map[string]*session{}, sockets: map[net.Conn]bool{},
	}
	s.serviceTime.Store(int64(config.ServiceTime))
	s.lag.Store(int64(config.Lag))
	for _, p := range config.Peers {
		s.followers[p.Name] = &follower{next: 1, notify: make(chan struct{}, 1)}
	}
	s.ctx, s.cancel = context.WithCancel(ctx)
	if err := s.open(); err != nil {
		s.end()
		return nil, &Error{Operation: "start", Kind: codeInternal, Err: err}
	}
	s.start(func() { s.acceptClients() })
	s.start(func() { s.acceptPeers() })
	for _, p := range config.Peers {
		s.start(func() { s.contactPeer(p) })
	}
	context.AfterFunc(s.ctx, s.closeSockets)
	return s, nil
}

func (s *Server) promisePath() string { return filepath.Join(s.config.Directory, "promise") }

func (s *Server) open() (err error) {
	if s.log, err = openLog(filepath.Join(s.config.Directory, "log"), s.config.Sync); err != nil {
		return err
	}
	if s.files, err = os.MkdirTemp("", "standin-"+s.config.Name+"-"); err != nil {
		return eris.Wrap(err, "create directory of files")
	}
	if err = s.rebuild(); err != nil {
		return err
	}
	if err = s.resume(); err != nil {
		return err
	}
	if s.clients, err = net.Listen("tcp", s.config.Address); err != nil {
		return eris.Wrap(err, "listen for clients")
	}
	s.peers, err = net.Listen("tcp", s.config.ReplicationAddress)
	return eris.Wrap(err, "listen for servers")
}

func (s *Server) start(run func()) {
	s.running.Go(run)
}

// track registers a socket so that Kill can close it. It returns false if the server is ending.
func (s *Server) track(conn net.Conn, client bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		conn.Close()
		return false
	}
	s.sockets[conn] = client
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	delete(s.sockets, conn)
	s.mu.Unlock()
	conn.Close()
}

func (s *Server) closeSockets() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range []net.Listener{s.clients, s.peers} {
		if l != nil {
			l.Close()
		}
	}
	for conn := range s.sockets {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0) // a reset drops answers that are still in the send buffer
		}
		conn.Close()
	}
}

// Addr returns the address for clients.
func (s *Server) Addr() string { return s.clients.Addr().String() }

// Stop ends the server after the running statements. Idle sessions are told with 57P01.
func (s *Server) Stop() {
	s.stopping.Store(true)
	s.mu.Lock()
	s.clients.Close()
	for conn, client := range s.sockets {
		if client {
			conn.SetReadDeadline(time.Now())
		}
	}
	s.mu.Unlock()
	deadline := time.Now().Add(stopTimeout)
	for s.sessions() > 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	s.end()
}

// Kill ends the server without any answer, as the loss of its process does.
func (s *Server) Kill() { s.end() }

func (s *Server) sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connections
}

func (s *Server) end() {
	s.ending.Do(func() {
		s.cancel()
		s.closeSockets()
		s.running.Wait()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.closeOrganisations()
		if s.log != nil {
			s.log.file.Close()
		}
		if s.files != "" {
			os.RemoveAll(s.files)
		}
	})
}

// fail ends a server that can no longer keep its log and its files equal. The mutex may be held.
func (s *Server) fail(err error) {
	slog.Error("stand-in database stops", "server", s.config.Name, "error", err)
	s.cancel()
}

// Statements returns how many reads and writes of clients the server has run.
func (s *Server) Statements() uint64 { return s.statements.Load() }

// Dump runs a read on an organisation's committed state and returns its rows; NULL is "NULL".
func (s *Server) Dump(organisation, sql string) ([][]string, error) {
	store, _, err := s.organisation(organisation)
	if err != nil {
		return nil, err
	}
	commands := split(sql)
	if len(commands) != 1 || commands[0].class != classRead {
		return nil, failure("dump", codeSyntax, "one read expected")
	}
	r, err := query(store.readers, commands[0], nil)
	if err != nil {
		return nil, &Error{Operation: "dump", Kind: codeOf(err), Err: err}
	}
	rows := make([][]string, len(r.rows))
	for i, row := range r.rows {
		for _, value := range row {
			if value == nil {
				rows[i] = append(rows[i], "NULL")
				continue
			}
			rows[i] = append(rows[i], *value)
		}
	}
	return rows, nil
}
