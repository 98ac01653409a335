package settings_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"tanagercross/internal/instance/settings"
)

const secretText = "0123456789abcdef0123456789abcdef"

func environment(changes ...string) func(string) string {
	m := map[string]string{
		"NAME": "a1", "PLACE": "agreste", "REGION": "north", "PLATFORM_URL": "http://127.0.0.1:9000",
		"FLEET_SECRET": secretText + "," + secretText + "2", "OPERATOR_SECRET": secretText,
	}
	for i := 0; i < len(changes); i += 2 {
		m[changes[i]] = changes[i+1]
	}
	return func(name string) string { return m[strings.TrimPrefix(name, settings.EnvironmentPrefix)] }
}

// Guards against a flag that does not win over the environment, and against lost defaults and secrets.
func TestFlagWins(t *testing.T) {
	file := filepath.Join(t.TempDir(), "secret")
	if err := os.WriteFile(file, []byte(secretText+"3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := settings.Parse([]string{"--drain-deadline=5s", "--name", "b2", "--operator-secret-file", file}, environment("DRAIN_DEADLINE", "7s", "LOG_LEVEL", "debug"))
	if err != nil {
		t.Fatal(err)
	}
	if s.Name != "b2" || s.DrainDeadline != 5*time.Second || s.LogLevel.String() != "DEBUG" || s.AdvertisePeers.String() != "127.0.0.1:8081" {
		t.Errorf("settings %+v", s)
	}
	if len(s.FleetSecrets) != 2 || s.OperatorSecret.Reveal() != secretText+"3" {
		t.Error("secrets are lost")
	}
	data, _ := json.Marshal(s)
	if shown := fmt.Sprintf("%v %+v %#v %s", s, s, s, data); strings.Contains(shown, secretText) {
		t.Errorf("a secret is shown in %s", shown)
	}
}

// Guards against errors that do not name the setting, its value and what is allowed, or that show a secret.
func TestErrorsNameTheSetting(t *testing.T) {
	cases := []struct {
		arguments, changes []string
		want               string
	}{
		{nil, []string{"NAME", ""}, "name: value (absent); allowed: 1 to 64 of a-z"},
		{nil, []string{"NAME", "A 1"}, `TANAGERCROSS_NAME: value "A 1"; allowed: 1 to 64 of a-z`},
		{[]string{"--drain-deadline", "1h"}, nil, `--drain-deadline: value "1h"; allowed: 1s to 10m0s`},
		{[]string{"--listen-callers", "localhost"}, nil, `--listen-callers: value "localhost"; allowed: IP address and port`},
		{nil, []string{"PLATFORM_URL", "ftp://x"}, `value "ftp://x"; allowed: http or https URL`},
		{nil, []string{"LISTEN_PEERS", "0.0.0.0:1"}, "advertise_peers: value (absent)"},
		{nil, []string{"LISTEN_PEERS", "127.0.0.1:8080"}, "listen addresses: value 127.0.0.1:8080; allowed: a different address"},
		{nil, []string{"LOG_LEVEL", "loud"}, `value "loud"; allowed: debug, info, warn or error`},
		{nil, []string{"MAX_CONNECTIONS", "0"}, `value "0"; allowed: 1 to 1000000`},
		{nil, []string{"FLEET_SECRET", "short-but-hidden"}, "TANAGERCROSS_FLEET_SECRET: value [redacted]; allowed: one or more secrets of at least 32 bytes"},
		{nil, []string{"OPERATOR_SECRET", ""}, "operator_secret or operator_secret_file: value (absent); allowed: at least 32 bytes"},
		{nil, []string{"FLEET_SECRET_FILE", "/nonexistent"}, "no such file"},
		{[]string{"--wrong=1"}, nil, "flags: value --wrong; allowed: the flags that --help lists"},
		{[]string{"stray"}, nil, "flags: value stray"},
		{[]string{"--name"}, nil, "flags: value --name; allowed: a value after the flag"},
	}
	for _, c := range cases {
		_, err := settings.Parse(c.arguments, environment(c.changes...))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "hidden") {
			t.Errorf("%v %v: %v, want %s", c.arguments, c.changes, err, c.want)
		}
	}
}

// Guards against settings without documentation and against defaults that are refused.
func TestTableIsComplete(t *testing.T) {
	markdown := settings.Markdown()
	for _, s := range settings.Table() {
		if s.Unit == "" || s.Allowed == "" || s.Help == "" || !strings.Contains(markdown, "| `"+s.Name+"` |") {
			t.Errorf("%s is not documented", s.Name)
		}
	}
	page, err := os.ReadFile("../../../docs/SETTINGS.md")
	if err != nil || !strings.Contains(string(page), markdown) {
		t.Errorf("docs/SETTINGS.md does not hold this table (%v):\n%s", err, markdown)
	}
	if _, err := settings.Parse(nil, environment()); err != nil {
		t.Error(err)
	}
}
