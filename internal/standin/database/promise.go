package database

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"

	"github.com/rotisserie/eris"
)

// promise is the durable part of a server's role.
type promise struct {
	Term    uint64 `json:"term"`
	Holder  string `json:"holder"`
	Primary string `json:"primary"` // primary of Term, if known
}

// loadPromise reads the file; found is false if there is none.
func loadPromise(path string) (p promise, found bool, err error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return promise{}, false, nil
	}
	if err != nil {
		return promise{}, false, eris.Wrap(err, "read promise")
	}
	return p, true, eris.Wrap(json.Unmarshal(data, &p), "decode promise")
}

// save replaces the file in one step, so that a crash leaves either the old or the new promise.
func (p promise) save(path string, sync bool) error {
	data, err := json.Marshal(p)
	if err != nil {
		return eris.Wrap(err, "encode promise")
	}
	file, err := os.OpenFile(path+".new", os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return eris.Wrap(err, "create promise")
	}
	if _, err = file.Write(data); err == nil && sync {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return eris.Wrap(err, "write promise")
	}
	return eris.Wrap(os.Rename(path+".new", path), "replace promise")
}
