package load

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"
)

const (
	pollInterval = 50 * time.Millisecond
	pollTimeout  = time.Second
)

// instance is an entry instance with its readiness, as the platform's balancer would know it.
type instance struct {
	url     string
	unready atomic.Bool
}

// poll asks for the readiness until ctx ends.
func (i *instance) poll(ctx context.Context, dial func(context.Context, string, string) (net.Conn, error)) {
	client := &http.Client{Timeout: pollTimeout, Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial}}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		i.unready.Store(!ready(ctx, client, i.url+"/readyz"))
	}
}

func ready(ctx context.Context, client *http.Client, url string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	w, err := client.Do(r)
	if err != nil {
		return false
	}
	_ = w.Body.Close()
	return w.StatusCode == http.StatusNoContent
}

// pick returns a random instance that is ready, or any if none is.
func pick(instances []*instance, random *rand.Rand) *instance {
	start := random.IntN(len(instances))
	for n := range instances {
		if i := instances[(start+n)%len(instances)]; !i.unready.Load() {
			return i
		}
	}
	return instances[start]
}

// usable returns the instances that an organisation uses.
func (r *run) usable(o Organisation) []*instance {
	if o.Instances == nil {
		return r.instances
	}
	var used []*instance
	for _, i := range r.instances {
		if slices.Contains(o.Instances, i.url) {
			used = append(used, i)
		}
	}
	return used
}
