package settings

import (
	"fmt"
	"log/slog"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// MinSecretBytes is the least length of a secret; HMAC-SHA256 has no use for a shorter one.
const MinSecretBytes = 32

const (
	nameRule    = "1 to 64 of a-z, 0-9, _ and -, starting with a letter"
	addressRule = "IP address and port, for example 127.0.0.1:8080"
	secretRule  = "at least 32 bytes"
	secretsRule = "one or more secrets of at least 32 bytes, separated by commas; the first signs"
	fileRule    = "path of a readable file with secrets of at least 32 bytes, one a line"
	levelRule   = "debug, info, warn or error"
	urlRule     = "http or https URL"
)

// Setting describes one setting.
type Setting struct {
	Name     string // in snake case
	Unit     string
	Default  string
	Allowed  string
	Help     string
	Secret   bool // the value is never shown
	optional bool
	set      func(*Settings, string) error
}

// Flag returns the name of the flag without dashes.
func (s Setting) Flag() string { return strings.ReplaceAll(s.Name, "_", "-") }

// Environment returns the name of the environment variable.
func (s Setting) Environment() string { return EnvironmentPrefix + strings.ToUpper(s.Name) }

func (s Setting) description() string {
	d := s.Help + " (" + s.Allowed
	if s.Default != "" {
		d += "; default " + s.Default
	}
	return d + ")"
}

func (s Setting) problem(source, text string, err error) Problem {
	p := Problem{Setting: source, Value: strconv.Quote(text), Allowed: s.Allowed}
	switch {
	case text == "":
		p.Value = "(absent)"
	case s.Secret:
		p.Value = redacted
	}
	if strings.HasSuffix(s.Name, "_file") {
		p.Allowed += " (" + err.Error() + ")"
	}
	return p
}

// Table returns all settings in the order of the documentation.
func Table() []Setting { return append([]Setting(nil), table...) }

// Markdown returns the settings as a table for the documentation.
func Markdown() string {
	var b strings.Builder
	b.WriteString("| setting | unit | default | allowed | meaning |\n|---|---|---|---|---|\n")
	for _, s := range table {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", s.Name, s.Unit, s.Default, s.Allowed, s.Help)
	}
	return b.String()
}

var table = []Setting{
	{Name: "name", Unit: "text", Allowed: nameRule, Help: "member id of the instance, kept over restarts", set: name(func(s *Settings) *string { return &s.Name })},
	{Name: "place", Unit: "text", Allowed: nameRule, Help: "data centre of the instance", set: name(func(s *Settings) *string { return &s.Place })},
	{Name: "region", Unit: "text", Allowed: nameRule, Help: "region of the data centre", set: name(func(s *Settings) *string { return &s.Region })},
	{Name: "listen_callers", Unit: "address", Default: "127.0.0.1:8080", Allowed: addressRule, Help: "listener of the caller API", set: address(func(s *Settings) *netip.AddrPort { return &s.ListenCallers })},
	{Name: "listen_peers", Unit: "address", Default: "127.0.0.1:8081", Allowed: addressRule, Help: "listener for other instances", set: address(func(s *Settings) *netip.AddrPort { return &s.ListenPeers })},
	{Name: "listen_operators", Unit: "address", Default: "127.0.0.1:8082", Allowed: addressRule, Help: "listener of the operators' API and the metrics", set: address(func(s *Settings) *netip.AddrPort { return &s.ListenOperators })},
	{Name: "advertise_peers", Unit: "address", Allowed: addressRule, Help: "address under which other instances reach this one; listen_peers if absent", optional: true, set: address(func(s *Settings) *netip.AddrPort { return &s.AdvertisePeers })},
	{Name: "platform_url", Unit: "URL", Allowed: urlRule, Help: "base URL of the platform's services", set: setPlatform},
	{Name: "fleet_secret", Unit: "text", Allowed: secretsRule, Help: "secret that signs session tokens and peer calls", Secret: true, optional: true, set: func(s *Settings, text string) error { return setSecrets(s, strings.Split(text, ",")) }},
	{Name: "fleet_secret_file", Unit: "path", Allowed: fileRule, Help: "file with the fleet secrets; replaces fleet_secret", optional: true, set: setSecretsFile},
	{Name: "operator_secret", Unit: "text", Allowed: secretRule, Help: "secret that operators present", Secret: true, optional: true, set: secret(func(s *Settings) *Secret { return &s.OperatorSecret }, MinSecretBytes)},
	{Name: "operator_secret_file", Unit: "path", Allowed: fileRule, Help: "file with the operator secret; replaces operator_secret", optional: true, set: secretFile(func(s *Settings) *Secret { return &s.OperatorSecret }, MinSecretBytes)},
	{Name: "database_user", Unit: "text", Default: "tanagercross", Allowed: nameRule, Help: "user at the database servers", set: name(func(s *Settings) *string { return &s.DatabaseUser })},
	{Name: "database_name", Unit: "text", Default: "tanagercross", Allowed: nameRule, Help: "database at the servers", set: name(func(s *Settings) *string { return &s.DatabaseName })},
	{Name: "database_password_file", Unit: "path", Allowed: "path of a readable file with one line", Help: "file with the password of database_user", optional: true, set: secretFile(func(s *Settings) *Secret { return &s.DatabaseSecret }, 1)},
	{Name: "log_level", Unit: "level", Default: "info", Allowed: levelRule, Help: "least level that is logged", set: setLevel},
	{Name: "drain_deadline", Unit: "duration", Default: "30s", Allowed: "1s to 10m0s", Help: "time that running requests get at shutdown", set: duration(func(s *Settings) *time.Duration { return &s.DrainDeadline }, time.Second, 10*time.Minute)},
	{Name: "max_connections", Unit: "connections", Default: "10000", Allowed: "1 to 1000000", Help: "open connections of callers", set: setMaxConnections},
	{Name: "memory_mb", Unit: "MiB", Default: "1024", Allowed: "64 to 1048576", Help: "memory of the machine; a quarter of it may hold request bodies of more than 16 KiB", set: setMemory},
	{Name: "read_timeout", Unit: "duration", Default: "10s", Allowed: "100ms to 5m0s", Help: "time in which a caller must send a request", set: duration(func(s *Settings) *time.Duration { return &s.ReadTimeout }, 100*time.Millisecond, 5*time.Minute)},
	{Name: "write_timeout", Unit: "duration", Default: "1m30s", Allowed: "1s to 10m0s", Help: "time for a request and its answer; longer than the longest deadline, 60 s", set: duration(func(s *Settings) *time.Duration { return &s.WriteTimeout }, time.Second, 10*time.Minute)},
	{Name: "idle_timeout", Unit: "duration", Default: "1m0s", Allowed: "1s to 1h0m0s", Help: "time that a connection may stay without a request", set: duration(func(s *Settings) *time.Duration { return &s.IdleTimeout }, time.Second, time.Hour)},
}

var errNotAllowed = eris.New("not allowed")

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9_-]{0,63}$`)

func name(of func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, text string) error {
		if !namePattern.MatchString(text) {
			return errNotAllowed
		}
		*of(s) = text
		return nil
	}
}

func address(of func(*Settings) *netip.AddrPort) func(*Settings, string) error {
	return func(s *Settings, text string) error {
		a, err := netip.ParseAddrPort(text)
		*of(s) = a
		return err
	}
}

func duration(of func(*Settings) *time.Duration, least, most time.Duration) func(*Settings, string) error {
	return func(s *Settings, text string) error {
		d, err := time.ParseDuration(text)
		if err != nil || d < least || d > most {
			return errNotAllowed
		}
		*of(s) = d
		return nil
	}
}

func secret(of func(*Settings) *Secret, least int) func(*Settings, string) error {
	return func(s *Settings, text string) error {
		if len(text) < least {
			return eris.Errorf("the secret has %d bytes", len(text))
		}
		*of(s) = NewSecret(text)
		return nil
	}
}

func secretFile(of func(*Settings) *Secret, least int) func(*Settings, string) error {
	return func(s *Settings, path string) error {
		text, err := readFile(path)
		if err != nil {
			return err
		}
		return secret(of, least)(s, strings.TrimSpace(text))
	}
}

func setSecrets(s *Settings, texts []string) error {
	var secrets []Secret
	for _, text := range texts {
		text = strings.TrimSpace(text)
		if len(text) < MinSecretBytes {
			return eris.Errorf("a secret has %d bytes", len(text))
		}
		secrets = append(secrets, NewSecret(text))
	}
	s.FleetSecrets = secrets
	return nil
}

func setSecretsFile(s *Settings, path string) error {
	text, err := readFile(path)
	if err != nil {
		return err
	}
	return setSecrets(s, strings.Split(strings.TrimSpace(text), "\n"))
}

func setPlatform(s *Settings, text string) error {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return errNotAllowed
	}
	s.PlatformURL = u
	return nil
}

func setLevel(s *Settings, text string) error {
	levels := map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError}
	level, ok := levels[text]
	if !ok {
		return errNotAllowed
	}
	s.LogLevel = level
	return nil
}

func setMemory(s *Settings, text string) error {
	n, err := strconv.Atoi(text)
	if err != nil || n < 64 || n > 1<<20 {
		return errNotAllowed
	}
	s.MemoryMB = n
	return nil
}

func setMaxConnections(s *Settings, text string) error {
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > 1_000_000 {
		return errNotAllowed
	}
	s.MaxConnections = n
	return nil
}
