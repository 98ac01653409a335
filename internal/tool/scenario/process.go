package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/standin/network"
	"tanagercross/internal/tool/deployment"
)

const (
	listenTimeout = 10 * time.Second
	exitTimeout   = 15 * time.Second
	dumpedLines   = 15
	shortPause    = 20 * time.Millisecond
)

// freeAddress returns a loopback address for a listener.
func freeAddress() (string, error) {
	addresses, err := network.FreeAddresses(1)
	if err != nil {
		return "", err
	}
	return addresses[0], nil
}

// process is one of the programs. It can be started again after its end.
type process struct {
	name      string
	path      string
	arguments []string
	log       string
	listen    []string // addresses that it serves once it is up

	command *exec.Cmd
	ended   chan struct{} // closed after the end
	started func()
	gone    func()
}

// start runs the process and waits until it listens.
func (p *process) start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return eris.Wrap(err, "log")
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(p.path, p.arguments...)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := deployment.StartProcess(command); err != nil {
		return eris.Wrap(err, p.name)
	}
	ended := make(chan struct{})
	p.command, p.ended = command, ended
	go func() {
		_ = command.Wait()
		if p.gone != nil {
			p.gone()
		}
		close(ended)
	}()
	for _, address := range p.listen {
		if err := p.awaitListener(address); err != nil {
			return err
		}
	}
	if p.started != nil {
		p.started()
	}
	return nil
}

func (p *process) awaitListener(address string) error {
	deadline := time.Now().Add(listenTimeout)
	for time.Now().Before(deadline) {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			return conn.Close()
		}
		select {
		case <-p.ended:
			return eris.Errorf("%s ended at its start: %s", p.name, p.command.ProcessState)
		case <-time.After(shortPause):
		}
	}
	return eris.Errorf("%s does not listen on %s", p.name, address)
}

func (p *process) running() bool {
	if p.command == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) error {
	if !p.running() {
		return eris.Errorf("%s does not run", p.name)
	}
	if err := p.command.Process.Signal(s); err != nil {
		return eris.Wrap(err, p.name)
	}
	if s == syscall.SIGKILL {
		<-p.ended
	}
	return nil
}

// exitCode waits for the end of the process.
func (p *process) exitCode(limit time.Duration) (int, error) {
	select {
	case <-p.ended:
		return p.command.ProcessState.ExitCode(), nil
	case <-time.After(limit):
		return 0, eris.Errorf("%s still runs after %s", p.name, limit)
	}
}

// kill ends the process, also while it is stopped.
func (p *process) kill() {
	if p.running() {
		_ = p.command.Process.Kill()
		<-p.ended
	}
}

// tail returns the last lines of the log.
func (p *process) tail() string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	lines := bytes.Split(bytes.TrimSpace(data), []byte("\n"))
	var kept [][]byte
	for _, line := range lines {
		if !bytes.Contains(line, []byte(`"msg":"request"`)) {
			kept = append(kept, line)
		}
	}
	return fmt.Sprintf("%s", bytes.Join(kept[max(0, len(kept)-dumpedLines):], []byte("\n")))
}

// keepLogs copies the logs to TANAGERCROSS_LOGS, if that is set.
func keepLogs(name string, processes []*process) error {
	kept := os.Getenv("TANAGERCROSS_LOGS")
	if kept == "" {
		return nil
	}
	directory := filepath.Join(kept, name)
	err := os.MkdirAll(directory, 0o755)
	for _, p := range processes {
		data, readErr := os.ReadFile(p.log)
		err = errors.Join(err, readErr, os.WriteFile(filepath.Join(directory, p.name+".log"), data, 0o644))
	}
	return err
}
