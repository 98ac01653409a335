package scenario

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"tanagercross/internal/instance/metric"
)

// commandHolder: holder transactions|lanes
//
// Sets HOLDER to the instance that holds the open transactions or the lanes, and OTHER to one that holds none.
func (f *fleet) commandHolder(arguments []string) error {
	if err := expect(arguments, 1, 1, "holder transactions|lanes"); err != nil {
		return err
	}
	gauge := metric.OpenTransactions
	if arguments[0] == "lanes" {
		gauge = metric.LanesHeld
	}
	holder, other := "", ""
	for _, name := range f.runningInstances() {
		value, err := f.gauge(name, string(gauge))
		if err != nil {
			return err
		}
		if value > 0 {
			holder = name
		} else {
			other = name
		}
	}
	if holder == "" || other == "" {
		return eris.Errorf("holder %q, other %q", holder, other)
	}
	f.setenv("HOLDER", holder)
	f.setenv("OTHER", other)
	return nil
}

// gauge sums the series of a metric over the servers. An instance has series only for servers whose lanes it holds.
func (f *fleet) gauge(instance, name string) (float64, error) {
	r, err := http.NewRequest(http.MethodGet, "http://"+f.instances[instance].operators+"/metrics", nil)
	if err != nil {
		return 0, eris.Wrap(err, "metrics")
	}
	r.Header.Set("Authorization", "Bearer "+f.secret)
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, eris.Wrap(err, "metrics")
	}
	defer func() { _ = w.Body.Close() }()
	sum := 0.0
	for lines := bufio.NewScanner(w.Body); lines.Scan(); {
		series, value, _ := strings.Cut(lines.Text(), " ")
		if before, _, _ := strings.Cut(series, "{"); before != name {
			continue
		}
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return 0, eris.Wrap(err, series)
		}
		sum += n
	}
	return sum, nil
}
