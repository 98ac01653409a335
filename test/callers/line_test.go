package callers

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"tanagercross/internal/standin/wire"
)

const (
	lineBytes   = 1 << 20 // longest line, with its end
	lineEnd     = "\r\n"
	crowd       = 300
	mostPiece   = 1000    // bytes
	farOver     = 8 << 20 // bytes of a line over the limit
	slowBytes   = 4       // sent by a slow client, one a second
	sentAhead   = 1000    // queries
	takenBytes  = 1 << 10 // at once, by a client that takes its answer slowly
	takings     = 80
	takingPause = 50 * time.Millisecond
)

var (
	start     = []byte("START " + database + " " + key + lineEnd)
	fullLine  = queryOf("READ ", lineBytes)
	askLarge  = []byte("QUERY a/1 READ " + largeItem + lineEnd)
	noLineEnd = bytes.Repeat([]byte("x"), 64<<10)
)

// queryOf returns a query line of a length, filled with the argument of a statement.
func queryOf(statement string, length int) []byte {
	head := "QUERY a/1 " + statement
	return []byte(head + strings.Repeat("y", length-len(head)-len(lineEnd)) + lineEnd)
}

// session starts a session and waits for the answer. It reports whether the session is open.
func session(conn net.Conn) bool {
	if _, err := conn.Write(start); err != nil {
		return false
	}
	line, err := wire.NewReader(conn).Line()
	return err == nil && strings.HasPrefix(line, "READY")
}

// inPieces sends bytes in pieces of 1 to mostPiece bytes.
func inPieces(r *rand.Rand, conn net.Conn, text []byte) {
	for len(text) > 0 {
		n := min(len(text), 1+r.IntN(mostPiece))
		if _, err := conn.Write(text[:n]); err != nil {
			return
		}
		text = text[n:]
	}
}

// lines is a crowd whose clients start a session and then do the same.
func lines(f func(r *rand.Rand, conn net.Conn)) func(x *trial) {
	return func(x *trial) {
		x.crowd(crowd, x.instance.Address, func(r *rand.Rand, conn net.Conn) {
			if session(conn) {
				f(r, conn)
			}
		})
	}
}

// large is a crowd before a server whose answers are large.
func large(f func(r *rand.Rand, conn net.Conn)) func(x *trial) {
	return func(x *trial) {
		if err := x.query("WRITE " + largeItem + " " + strings.Repeat("z", largeBytes)); err != nil {
			x.t.Fatal(err)
		}
		lines(f)(x)
	}
}

func send(conn net.Conn, text ...[]byte) {
	for _, t := range text {
		if _, err := conn.Write(t); err != nil {
			return
		}
	}
}

// Guards against memory that grows with the number of callers that send lines of the allowed length.
func TestLines(t *testing.T) {
	against(
		t,
		attack{"whole", usual, lines(func(_ *rand.Rand, conn net.Conn) { send(conn, fullLine) })},
		attack{"pieces", usual, lines(func(r *rand.Rand, conn net.Conn) { inPieces(r, conn, fullLine) })},
		attack{"ids", usual, lines(func(_ *rand.Rand, conn net.Conn) {
			send(conn, []byte("QUERY "+strings.Repeat("i", lineBytes-20)+" READ x"+lineEnd))
		})},
	)
}

// Guards against memory that grows with lines over the limit.
func TestOverlongLines(t *testing.T) {
	endless := func(_ *rand.Rand, conn net.Conn) {
		for range farOver / len(noLineEnd) {
			if _, err := conn.Write(noLineEnd); err != nil {
				return
			}
		}
	}
	against(
		t,
		attack{"far_over", usual, lines(func(_ *rand.Rand, conn net.Conn) { send(conn, queryOf("READ ", farOver)) })},
		attack{"endless", usual, lines(endless)},
		attack{"endless_start", usual, func(x *trial) { x.crowd(crowd, x.instance.Address, endless) }},
	)
}

// Guards against queries that are read ahead, or answers that pile up, while a caller does not read.
func TestQueriesAhead(t *testing.T) {
	ahead := func(text []byte) func(r *rand.Rand, conn net.Conn) {
		all := bytes.Repeat(text, sentAhead)
		return func(_ *rand.Rand, conn net.Conn) { send(conn, all) }
	}
	against(
		t,
		attack{"small", usual, lines(ahead([]byte("QUERY a/1 READ " + item + lineEnd)))},
		attack{"large_answers", littleMemory, large(ahead(askLarge))},
	)
}

// Guards against callers that hold memory, or connections, because they send or take slowly, or stop.
func TestSlowCallers(t *testing.T) {
	against(
		t,
		attack{"byte_a_second", usual, lines(func(_ *rand.Rand, conn net.Conn) {
			send(conn, fullLine[:lineBytes-100])
			for n := range slowBytes {
				time.Sleep(time.Second)
				send(conn, fullLine[lineBytes-100+n:lineBytes-99+n])
			}
		})},
		attack{"half_a_line", usual, lines(func(_ *rand.Rand, conn net.Conn) { send(conn, fullLine[:lineBytes*3/4]) })},
		attack{"answer_not_taken", littleMemory, large(func(_ *rand.Rand, conn net.Conn) {
			send(conn, askLarge)
			time.Sleep(2 * time.Second)
		})},
		attack{"answer_taken_slowly", littleMemory, large(func(_ *rand.Rand, conn net.Conn) {
			send(conn, askLarge)
			for range takings {
				if _, err := io.CopyN(io.Discard, conn, takenBytes); err != nil {
					return
				}
				time.Sleep(takingPause)
			}
		})},
	)
}

// Guards against connections that use up the descriptors or lock ordinary callers out.
func TestConnections(t *testing.T) {
	const left, loops, opened = 800, 8, 400
	against(
		t,
		attack{"left_open", fewDescriptors, func(x *trial) { x.crowd(left, x.instance.Address, func(_ *rand.Rand, conn net.Conn) { session(conn) }) }},
		attack{"left_silent", fewDescriptors, func(x *trial) { x.crowd(left, x.instance.Address, func(*rand.Rand, net.Conn) {}) }},
		attack{"opened_and_closed", fewDescriptors, func(x *trial) {
			x.crowd(loops, x.instance.Address, func(r *rand.Rand, _ net.Conn) {
				for range opened {
					conn, err := net.DialTimeout("tcp", x.instance.Address, crowdDeadline)
					if err != nil {
						continue
					}
					if r.IntN(2) == 0 {
						send(conn, start)
					}
					_ = conn.Close()
				}
			})
		}},
	)
}

// Guards against sessions that hold memory without bound.
func TestSessions(t *testing.T) {
	const each, names, longNames, valueBytes = 64, 4000, 60, 16 << 10
	value := strings.Repeat("v", valueBytes)
	long := strings.Repeat("n", lineBytes-64)
	one := func(x *trial, f func(n int) string, count int) {
		x.crowd(1, x.instance.Address, func(_ *rand.Rand, conn net.Conn) {
			if !session(conn) {
				x.t.Error("no session")
				return
			}
			go func() { _, _ = io.Copy(io.Discard, conn) }()
			for n := range count {
				if _, err := io.WriteString(conn, f(n)); err != nil {
					return
				}
			}
		})
	}
	against(
		t,
		attack{"values_of_many", usual, lines(func(_ *rand.Rand, conn net.Conn) {
			go func() { _, _ = io.Copy(io.Discard, conn) }()
			for n := range each {
				send(conn, fmt.Appendf(nil, "QUERY a/1 SET n%d %s\r\nQUERY a/1 PREPARE n%d READ %s\r\n", n, value, n, value))
			}
		})},
		attack{"many_names", usual, func(x *trial) {
			one(x, func(n int) string {
				return fmt.Sprintf("QUERY a/1 PREPARE n%d READ q\r\nQUERY a/1 SET n%d v\r\n", n, n)
			}, names)
		}},
		attack{"long_names", usual, func(x *trial) {
			one(x, func(n int) string {
				return fmt.Sprintf("QUERY a/1 PREPARE %d%s READ q\r\nQUERY a/1 SET %d%s v\r\n", n, long, n, long)
			}, longNames)
		}},
		attack{"open_transactions", usual, lines(func(_ *rand.Rand, conn net.Conn) {
			send(conn, []byte("QUERY a/1 BEGIN\r\nQUERY a/2 WRITE x y\r\n"))
		})},
		attack{"transactions_in_a_loop", usual, func(x *trial) {
			one(x, func(int) string {
				return "QUERY a/1 BEGIN\r\nQUERY a/2 READ x\r\nQUERY a/3 ROLLBACK\r\nQUERY a/4 BEGIN\r\n"
			}, sentAhead)
		}},
	)
}

// Guards against bytes that end the process.
func TestBytes(t *testing.T) {
	against(t, attack{"random", usual, func(x *trial) {
		x.crowd(crowd, x.instance.Address, func(r *rand.Rand, conn net.Conn) {
			if r.IntN(2) == 0 && !session(conn) {
				return
			}
			for _, head := range []string{"", "QUERY ", "QUERY \x00 ", "QUERY \xff\xfe SET ", "QUERY a/1 PREPARE \x00 READ "} {
				text := make([]byte, r.IntN(200))
				for n := range text {
					text[n] = byte(r.Uint32())
				}
				send(conn, []byte(head), text, []byte(lineEnd))
			}
		})
	}})
}

// Guards against limits that a single message inside the protocol's limits meets.
func TestOneFullLine(t *testing.T) {
	against(t, attack{"write", usual, func(x *trial) {
		text := strings.TrimSuffix(string(queryOf("WRITE "+item+" ", lineBytes)), lineEnd)
		s, _, err := wire.OpenSession(x.instance.Address, database, key, ordinaryWait)
		if err != nil {
			x.t.Fatal(err)
		}
		defer s.Close()
		for _, body := range []string{strings.TrimPrefix(text, "QUERY a/1 "), "READ " + item} {
			if r, err := s.Query("a/1", body); err != nil || r.Code != "" {
				x.t.Errorf("%.20s: %s, %v; want success", body, r.Code, err)
			}
		}
	}})
}
