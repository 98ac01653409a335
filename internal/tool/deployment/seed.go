package deployment

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/fleet/document"
	"tanagercross/internal/organisation/key"
	"tanagercross/internal/service/rest"
)

// SeedKeys writes a key for each organisation into the table of a platform without keys, as an earlier life of the fleet
// would have left them, and returns the keys by organisation.
func SeedKeys(ctx context.Context, platform string, organisations []string) (map[string]key.Key, error) {
	keys := map[string]key.Key{}
	var table key.Table
	for _, organisation := range organisations {
		k, err := key.New()
		if err != nil {
			return nil, err
		}
		entry := key.Entry{Hash: k.Hash(), Organisation: organisation, IssuedAt: time.Now().UTC(), IssuedBy: "deployment"}
		if table, err = table.WithIssued(entry); err != nil {
			return nil, err
		}
		keys[organisation] = k
	}
	content, err := json.Marshal(table)
	if err != nil {
		return nil, eris.Wrap(err, "encode keys")
	}
	_, write, err := document.Next(document.Document{Name: document.Keys}, content, document.Origin{
		ChangeID: "seed", Author: "deployment", Reason: "first version",
	})
	if err != nil {
		return nil, err
	}
	s := rest.New("http://"+platform, rest.Options{})
	defer s.Close()
	return keys, s.Commit(ctx, write.Conditions, write.Writes)
}
