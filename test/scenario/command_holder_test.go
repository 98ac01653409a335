package scenario_test

import (
	"bufio"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"tanagercross/internal/instance/metric"
)

// commandHolder: holder
//
// Sets HOLDER to the instance that holds the open transactions, and OTHER to one that holds none.
func (f *fleet) commandHolder([]string) error {
	holder, other := "", ""
	for _, name := range f.runningInstances() {
		value, err := f.gauge(name, string(metric.OpenTransactions))
		if err != nil {
			return err
		}
		if value != "0" {
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

// gauge reads a metric without labels.
func (f *fleet) gauge(instance, name string) (string, error) {
	r, err := http.NewRequest(http.MethodGet, "http://"+f.instances[instance].operators+"/metrics", nil)
	if err != nil {
		return "", eris.Wrap(err, "metrics")
	}
	r.Header.Set("Authorization", "Bearer "+f.secret)
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", eris.Wrap(err, "metrics")
	}
	defer func() { _ = w.Body.Close() }()
	for lines := bufio.NewScanner(w.Body); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			return value, nil
		}
	}
	return "", eris.Errorf("%s has no metric %s", instance, name)
}
