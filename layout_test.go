package tanagercross_test

import (
	"bytes"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const (
	module       = "tanagercross/"
	maxFileLines = 400
)

// decisionPackages do no I/O: docs/design.md, section 8.
var decisionPackages = []string{
	"internal/session/outcome", "internal/session/token", "internal/session/route",
	"internal/database/driver", "internal/database/operation", "internal/database/group",
	"internal/database/failover", "internal/database/lane",
	"internal/organisation/key", "internal/organisation/fairness", "internal/organisation/allotment",
	"internal/fleet/roster", "internal/fleet/freshness", "internal/fleet/lease",
	"internal/fleet/configuration", "internal/fleet/document", "internal/fleet/exchange",
	"internal/service/store", "internal/request/retry", "internal/request/execution",
	"internal/request/placement", "internal/request/admission",
	"internal/instance/clock", "internal/instance/event", "internal/instance/intake",
	"internal/database/statement", "internal/database/readindex", "internal/database/promotion",
	"internal/database/correlation", "internal/database/serverqueue", "internal/database/connplan", "internal/database/slowstart",
	"internal/database/replicaset",
	"internal/fleet/catalog", "internal/fleet/view", "internal/fleet/evacuation", "internal/fleet/residence",
}

// platformImporters may know the adapter to the users' platform.
var platformImporters = []string{"cmd/tanagercrossd", "platform"}

// ioImports are the packages through which code reaches the outside.
var ioImports = []string{"net", "net/http", "os", "os/exec", "database/sql", "syscall", "connectrpc.com/connect"}

type source struct {
	path    string
	imports []string
	lines   int
}

func sources(t *testing.T) []source {
	t.Helper()
	var all []source
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && slices.Contains([]string{".git", "internal/gen", "internal/genproto"}, path) {
			return filepath.SkipDir
		}
		if d.IsDir() || !strings.HasSuffix(path, ".go") {
			return nil
		}
		s, err := parse(path)
		all = append(all, s)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return all
}

func parse(path string) (source, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return source{}, err
	}
	file, err := parser.ParseFile(token.NewFileSet(), path, text, parser.ImportsOnly)
	if err != nil {
		return source{}, err
	}
	s := source{path: path, lines: bytes.Count(text, []byte("\n"))}
	for _, i := range file.Imports {
		name, err := strconv.Unquote(i.Path.Value)
		if err != nil {
			return source{}, err
		}
		s.imports = append(s.imports, name)
	}
	return s, nil
}

// Guards against I/O inside decision code, which would make its seeded tests depend on the machine.
func TestDecisionPackagesImportNoAdapter(t *testing.T) {
	for _, s := range sources(t) {
		dir := filepath.Dir(s.path)
		if strings.HasSuffix(s.path, "_test.go") || !slices.Contains(decisionPackages, dir) {
			continue
		}
		for _, name := range s.imports {
			if slices.Contains(ioImports, name) {
				t.Errorf("%s imports %s", s.path, name)
			}
			local, ok := strings.CutPrefix(name, module)
			if !ok || strings.HasPrefix(local, "internal/genproto/") || slices.Contains(decisionPackages, local) {
				continue
			}
			t.Errorf("%s imports the adapter %s", s.path, local)
		}
	}
}

// Guards against names of the users' platform that spread into the product.
func TestOnlyTheDaemonImportsThePlatform(t *testing.T) {
	for _, s := range sources(t) {
		if slices.Contains(s.imports, module+"platform") && !slices.Contains(platformImporters, filepath.ToSlash(filepath.Dir(s.path))) {
			t.Errorf("%s imports the adapter of the users' platform", s.path)
		}
	}
}

// Guards against files that grow past the size that a newcomer reads in one go.
func TestFilesStaySmall(t *testing.T) {
	for _, s := range sources(t) {
		if s.lines > maxFileLines {
			t.Errorf("%s has %d lines, want at most %d", s.path, s.lines, maxFileLines)
		}
	}
}

// Guards against catch-all packages.
func TestNoCatchAllPackages(t *testing.T) {
	for _, s := range sources(t) {
		name := filepath.Base(filepath.Dir(s.path))
		if slices.Contains([]string{"util", "utils", "common", "helpers", "misc"}, name) {
			t.Errorf("%s: package name %s says nothing", s.path, name)
		}
	}
}
