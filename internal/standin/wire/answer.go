package wire

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// AnswerFault is how servers harm what they answer. The zero value harms nothing. Shares are between 0 and 1.
type AnswerFault struct {
	Seed   uint64
	Repeat float64       // share of answers that are sent again, whole
	Copies int           // copies of a repeated answer, 1 if it is 0
	Least  time.Duration // least delay of a copy; a copy with delay 0 directly follows its original
	Most   time.Duration // most delay of a copy
	Cut    float64       // share of answers that end in the middle, followed by a close
	Busy   float64       // share of BEGIN, SET, READ and WRITE that are answered BUSY and not run
}

// SetAnswers sets how the servers harm the answers on connections that are opened from now on.
func (p *Platform) SetAnswers(f AnswerFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answers = f
}

// answerer writes the answers of one connection. Each is written as a whole, so that a copy never is inside another one.
type answerer struct {
	fault  AnswerFault
	random *rand.Rand // used by the goroutine that serves the connection

	mu   sync.Mutex
	conn net.Conn
}

func (p *Platform) newAnswerer(conn net.Conn) (*answerer, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connections++
	return &answerer{fault: p.answers, random: rand.New(rand.NewPCG(p.answers.Seed, uint64(p.connections))), conn: conn}, p.connections
}

// busy decides whether a statement is refused.
func (a *answerer) busy(verb string) bool {
	switch verb {
	case "BEGIN", "SET", "READ", "WRITE":
		return a.chance(a.fault.Busy)
	}
	return false
}

func (a *answerer) chance(share float64) bool { return share > 0 && a.random.Float64() < share }

// send writes an answer and schedules its copies. It reports whether the whole answer was written.
func (a *answerer) send(answer string) bool {
	if a.chance(a.fault.Cut) {
		a.cut(answer)
		return false
	}
	if !a.write(answer) {
		return false
	}
	if !a.chance(a.fault.Repeat) {
		return true
	}
	for range max(a.fault.Copies, 1) {
		delay := a.fault.Least
		if spread := a.fault.Most - a.fault.Least; spread > 0 {
			delay += time.Duration(a.random.Int64N(int64(spread)))
		}
		if delay == 0 {
			a.write(answer)
			continue
		}
		// The connection may have been closed before; the copy is dropped then.
		time.AfterFunc(delay, func() { a.write(answer) })
	}
	return true
}

// cut writes half of an answer and closes the connection. Both are one step, so that no copy comes behind the half.
func (a *answerer) cut(answer string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, _ = io.WriteString(a.conn, answer[:len(answer)/2])
	_ = a.conn.Close()
}

func (a *answerer) write(text string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, err := io.WriteString(a.conn, text)
	return err == nil
}
