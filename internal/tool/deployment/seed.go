package deployment

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/fleet/document"
	"tanagercross/internal/organisation/key"
	"tanagercross/internal/platform/rest"
	"tanagercross/internal/platform/store"
)

// seedKeys writes a key for each organisation into the platform's table, as an earlier life of the deployment would
// have left them.
func (d *Deployment) seedKeys(ctx context.Context) error {
	d.Keys = map[string]key.Key{}
	var table key.Table
	for _, organisation := range d.profile.Organisations {
		k, err := key.New()
		if err != nil {
			return err
		}
		entry := key.Entry{Hash: k.Hash(), Organisation: organisation, IssuedAt: time.Now().UTC(), IssuedBy: "deployment"}
		if table, err = table.WithIssued(entry); err != nil {
			return err
		}
		d.Keys[organisation] = k
	}
	content, err := json.Marshal(table)
	if err != nil {
		return eris.Wrap(err, "encode keys")
	}
	return d.seed(ctx, document.Keys, content)
}

func (d *Deployment) seed(ctx context.Context, name string, content []byte) error {
	first := document.Document{
		Name: name, Version: 1, Content: content,
		Origins: []document.Origin{{Version: 1, ChangeID: "seed", Author: "deployment", Reason: "first version"}},
	}
	data, err := first.Encode()
	if err != nil {
		return err
	}
	s := rest.New("http://"+d.Platform.Addr(), rest.Options{})
	defer s.Close()
	return s.Commit(ctx, []store.Condition{{Key: document.Key(name)}},
		[]store.Write{{Key: document.Key(name), Value: data}, {Key: document.VersionKey(name)}})
}
