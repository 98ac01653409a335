// Package property_test proves properties of a whole deployment under failure: what callers saw is compared with what the
// databases hold. TANAGERCROSS_SEED varies the seed. Each test has a database group of its own; tests that end instances
// have a deployment of their own.
package property_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"tanagercross/internal/tool/deployment"
	"tanagercross/internal/tool/load"
)

const (
	defaultSeed  = 1
	sharedGroups = 10
	startLimit   = 60 * time.Second
)

var organisations = []string{"sertao_coop", "agreste_coop", "litoral_coop"}

// bed is a deployment whose groups are handed out to tests.
type bed struct {
	*deployment.Deployment
	groups atomic.Int64
	ended  sync.WaitGroup // instances that were ended by tests
}

// profile has connections enough for the tests that run at the same time.
func profile(instances, groups int) deployment.Profile {
	p := deployment.Mutirao().WithInstances(instances).WithGroups(groups)
	p.Organisations = organisations
	return p
}

// start starts a deployment and creates the tables. The homes of a new fleet are known only after the leases that an
// earlier life could have given have ended, so that the first attempts are refused.
func start(p deployment.Profile) (*bed, error) {
	d, err := deployment.Start(context.Background(), p, nil) // the servers end with the context
	if err != nil {
		return nil, err
	}
	b := &bed{Deployment: d}
	o := b.options(1)
	for g := range p.Groups {
		o.Groups = append(o.Groups, fmt.Sprintf("%s-%d", p.GroupName, g+1))
	}
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	for {
		err := load.Prepare(ctx, o)
		if err == nil {
			return b, nil
		}
		if ctx.Err() != nil {
			d.Stop()
			return nil, err
		}
	}
}

// options returns the options of a load by all organisations.
func (b *bed) options(seed uint64) load.Options {
	o := load.Options{Instances: b.CallerURLs(), Duration: time.Second, Seed: seed, Dial: b.CallerDialer()}
	for _, name := range organisations {
		o.Organisations = append(o.Organisations, load.Organisation{Name: name, Key: b.Keys[name], Rate: 12, Sessions: 6})
	}
	return o
}

var (
	sharedOnce sync.Once
	sharedBed  *bed
	errShared  error
)

// shared returns the deployment for tests that only fail databases.
func shared(t *testing.T) *bed {
	t.Helper()
	sharedOnce.Do(func() { sharedBed, errShared = start(profile(3, sharedGroups)) })
	if errShared != nil {
		t.Fatal(errShared)
	}
	return sharedBed
}

func seed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("TANAGERCROSS_SEED"), 10, 64); err == nil {
		return n
	}
	return defaultSeed
}

func TestMain(m *testing.M) {
	release, err := deployment.Exclusive()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	defer release()
	code := m.Run()
	if sharedBed != nil {
		sharedBed.Stop()
	}
	http.DefaultClient.CloseIdleConnections()
	if err := goleak.Find(); code == 0 && err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}
