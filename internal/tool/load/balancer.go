package load

import (
	"context"
	"math/rand/v2"
	"net/http"
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
func (i *instance) poll(ctx context.Context) {
	client := &http.Client{Timeout: pollTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
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
func (r *run) pick(random *rand.Rand) *instance {
	start := random.IntN(len(r.instances))
	for n := range r.instances {
		if i := r.instances[(start+n)%len(r.instances)]; !i.unready.Load() {
			return i
		}
	}
	return r.instances[start]
}
