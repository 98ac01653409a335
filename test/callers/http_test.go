package callers

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"tanagercross/internal/standin/network"
	"tanagercross/internal/standin/platform"
	"tanagercross/internal/tool/deployment"
	"tanagercross/internal/tool/knownred"
)

const (
	httpConnections = 32
	httpReserve     = 64 // descriptors beside those of callers
	httpIdleMB      = 64 // memory without callers
	httpRequestMB   = 4  // memory of one request: body, decoded body and answer
	httpCrowd       = 100
	statementsPath  = "/v1/groups/meals/statements"
	deepJSON        = 1 << 20 // bytes
)

// newHTTPTarget starts the product with its own interface.
func newHTTPTarget(t *testing.T) (*target, string) {
	t.Helper()
	p, err := platform.Start(t.Context(), platform.Config{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	addresses, err := network.FreeAddresses(3)
	if err != nil {
		t.Fatal(err)
	}
	secret := strings.Repeat("s", 40)
	command := exec.Command(program, "--name", "i1", "--place", "agreste", "--region", "agreste", "--platform-url", "http://"+p.Addr(),
		"--listen-callers", addresses[0], "--listen-peers", addresses[1], "--listen-operators", addresses[2],
		"--fleet-secret", secret, "--operator-secret", secret, "--max-connections", fmt.Sprint(httpConnections),
		"--read-timeout", "2s", "--write-timeout", "3s", "--idle-timeout", "2s")
	log, err := os.Create(filepath.Join(t.TempDir(), "i1.log"))
	if err != nil {
		t.Fatal(err)
	}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := deployment.StartProcess(command); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	t.Cleanup(func() {
		_ = command.Process.Kill()
		<-ended
		_ = log.Close()
	})
	x := &target{
		t: t, pid: command.Process.Pid,
		machine: machine{memoryMB: httpIdleMB + httpConnections*httpRequestMB, descriptors: httpConnections + httpReserve},
	}
	x.alive = func() bool {
		select {
		case <-ended:
			return false
		default:
			return true
		}
	}
	x.ordinary = func() error { return about(addresses[0]) }
	x.serve()
	x.watch()
	return x, addresses[0]
}

// about makes a request that needs no database, on a connection of its own.
func about(address string) error {
	client := http.Client{Timeout: ordinaryWait, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address + "/v1/about")
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.New(response.Status)
	}
	return nil
}

func request(length int, header, body string) []byte {
	return fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: x\r\nX-Api-Key: k\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%s\r\n%s",
		statementsPath, length, header, body)
}

// Guards against requests that end the process, use up its memory or lock ordinary callers out.
func TestHTTP(t *testing.T) {
	long := strings.Repeat("x", 1<<20-100)
	statement := `{"sql": "` + long + `", "mode": "read"}`
	deep := strings.Repeat("[", deepJSON)
	var headers bytes.Buffer
	for n := range 20_000 {
		fmt.Fprintf(&headers, "X-H%d: v\r\n", n)
	}
	chunk := []byte(fmt.Sprintf("%x\r\n%s\r\n", len(noLineEnd), noLineEnd))
	for _, c := range []struct {
		name  string
		parts [][]byte
	}{
		{"large_bodies", [][]byte{request(len(statement), "", statement)}},
		{"half_a_body", [][]byte{request(len(statement), "", statement[:len(statement)/2])}},
		{"promised_gigabyte", [][]byte{request(1<<30, "", long), []byte(long), []byte(long)}},
		{"endless_chunks", [][]byte{[]byte("POST " + statementsPath + " HTTP/1.1\r\nHost: x\r\nX-Api-Key: k\r\nTransfer-Encoding: chunked\r\n\r\n")}},
		{"deep_json", [][]byte{request(len(deep), "", deep)}},
		{"nul", [][]byte{request(20, "", "{\"sql\": \"\x00\x00\x00\x00\"}   ")}},
		{"not_utf8", [][]byte{request(20, "", "{\"sql\": \"\xff\xfe\xc0\x80\"}   ")}},
		{"bytes_before_a_request", [][]byte{[]byte("\x00\x01\xff\xfe\r\n\r\n\x00")}},
		{"many_headers", [][]byte{request(2, headers.String(), "{}")}},
		{"long_header", [][]byte{request(2, "X-Long: "+long+"\r\n", "{}")}},
		{"half_a_header", [][]byte{[]byte("GET /v1/about HTTP/1.1\r\nHost: ")}},
		{"silent", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			knownred.Skip(t, *red)
			x, address := newHTTPTarget(t)
			x.crowd(httpCrowd, address, func(_ *rand.Rand, conn net.Conn) {
				_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
				send(conn, c.parts...)
				if c.name == "endless_chunks" {
					for range 128 {
						if _, err := conn.Write(chunk); err != nil {
							return
						}
					}
				}
			})
			x.check()
		})
	}
}
