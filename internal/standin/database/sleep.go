package database

import (
	"database/sql/driver"
	"time"

	"github.com/rotisserie/eris"
	"modernc.org/sqlite"
)

// maximumSleep bounds one call of pg_sleep.
const maximumSleep = time.Minute

func init() {
	sqlite.MustRegisterScalarFunction("pg_sleep", 1, pgSleep)
}

// pgSleep holds the statement and its slot for a number of seconds, as a long statement does.
func pgSleep(_ *sqlite.FunctionContext, arguments []driver.Value) (driver.Value, error) {
	var seconds float64
	switch v := arguments[0].(type) {
	case float64:
		seconds = v
	case int64:
		seconds = float64(v)
	case string:
		d, err := time.ParseDuration(v + "s")
		if err != nil {
			return nil, eris.Wrap(err, "pg_sleep")
		}
		seconds = d.Seconds()
	default:
		return nil, eris.Errorf("pg_sleep(%v): allowed: seconds", v)
	}
	time.Sleep(min(time.Duration(seconds*float64(time.Second)), maximumSleep))
	return "", nil
}
