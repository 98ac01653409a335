package daemon

import (
	"bytes"
	"context"
	"slices"
	"time"

	"github.com/google/uuid"

	"tanagercross/internal/fleet/configuration"
	"tanagercross/internal/fleet/document"
	"tanagercross/internal/fleet/exchange"
	"tanagercross/internal/fleet/roster"
	"tanagercross/internal/service/store"
)

const (
	joinTick       = 500 * time.Millisecond
	joinBackoffMax = 2 * time.Second
	// removeAfter is how long a member that the platform no longer lists must be silent before it is removed.
	removeAfter  = time.Minute
	removeTick   = 10 * time.Second
	listsTimeout = 2 * time.Second
)

// runJoin keeps this instance in the roster under its address.
func (d *Daemon) runJoin(ctx context.Context) {
	for range d.ticks(ctx, joinTick) {
		if d.draining.Load() || !d.polled.Load() {
			continue
		}
		view := d.fleet.view()
		if m, ok := view.roster.Member(d.settings.Name); ok && m.Address == d.address && m.Place == d.settings.Place {
			continue
		}
		next := d.rosterWithSelf(ctx, view.roster)
		result := d.changeRoster(ctx, next, "join of "+d.settings.Name)
		d.log.Info("joining the roster", "status", string(result.Status), "version", result.Version)
		if result.Status != document.InForce {
			d.wait(ctx, d.jitter(joinBackoffMax))
		}
	}
}

// rosterWithSelf returns the held roster with this instance. The first roster also names the instances that the
// platform lists, so that a new fleet need not join one by one.
func (d *Daemon) rosterWithSelf(ctx context.Context, held roster.Roster) roster.Roster {
	members := []roster.Member{{Name: d.settings.Name, Address: d.address, Place: d.settings.Place}}
	if held.Version() == 0 {
		ctx, cancel := context.WithTimeout(ctx, listsTimeout)
		defer cancel()
		list, err := d.store.Instances(ctx)
		if err != nil {
			d.log.Warn("instance list cannot be read", "error", err.Error())
		}
		for _, l := range list {
			if !l.Leaving && l.Name != d.settings.Name {
				members = append(members, roster.Member{Name: l.Name, Address: l.Address, Place: l.Place})
			}
		}
	}
	for _, m := range held.Members() {
		if m.Name != d.settings.Name {
			members = append(members, roster.Member{Name: m.Name, Address: m.Address, Place: m.Place})
		}
	}
	return roster.New(held.Version()+1, members)
}

func (d *Daemon) changeRoster(ctx context.Context, next roster.Roster, reason string) document.Result {
	content, err := next.Encode()
	if err != nil {
		return document.Result{Status: document.Abandoned, Message: err.Error()}
	}
	change := document.Change{
		ID: uuid.NewString(), Name: document.Roster, Base: next.Version() - 1, Author: d.settings.Name, Reason: reason,
		Content: content,
	}
	return d.change(ctx, change, next)
}

// runRemoval removes members that are gone. Only the first poller does so, because rival changes would conflict.
func (d *Daemon) runRemoval(ctx context.Context) {
	for range d.ticks(ctx, removeTick) {
		view := d.fleet.view()
		pollers := exchange.Pollers(view.roster)
		if len(pollers) == 0 || pollers[0].Name != d.settings.Name || !d.fleet.Fresh(d.clock.Now()) {
			continue
		}
		gone, ok := d.goneMember(ctx, view.roster)
		if !ok {
			continue
		}
		rest := slices.DeleteFunc(slices.Clone(view.roster.Members()), func(m roster.Member) bool { return m.Name == gone })
		result := d.changeRoster(ctx, roster.New(view.roster.Version()+1, rest).WithRemoval(), "removal of "+gone)
		d.log.Info("removing a member", "member", gone, "status", string(result.Status))
	}
}

// goneMember returns a member that the platform does not list as live and that has been silent for long.
func (d *Daemon) goneMember(ctx context.Context, r roster.Roster) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, listsTimeout)
	defer cancel()
	list, err := d.store.Instances(ctx)
	if err != nil {
		return "", false
	}
	now := d.clock.Now()
	for _, m := range r.Members() {
		live := slices.ContainsFunc(list, func(l store.ListedInstance) bool { return l.Name == m.Name && !l.Leaving })
		silence, known := d.liveness.silence(m.Name, now)
		if m.Name != d.settings.Name && !live && known && silence > removeAfter {
			return m.Name, true
		}
	}
	return "", false
}

// refreshGroups writes the platform's group list as a document if it changed.
func (d *Daemon) refreshGroups(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listsTimeout)
	defer cancel()
	list, err := d.store.Groups(ctx)
	if err != nil {
		d.log.Debug("group list cannot be read", "error", err.Error())
		return
	}
	content, err := encodeGroups(list)
	if err != nil || bytes.Equal(content, d.fleet.document(document.Groups).Content) {
		return
	}
	d.replace(ctx, document.Groups, content, "group list of the platform")
}

// ensureConfiguration writes the built-in defaults as the first version, so that operators have a version to change.
func (d *Daemon) ensureConfiguration(ctx context.Context) {
	if d.fleet.view().configurationVersion > 0 {
		return
	}
	content, err := configuration.Document{}.YAML()
	if err != nil {
		return
	}
	d.replace(ctx, document.Configuration, content, "built-in defaults")
}

// replace writes the next version of a document that needs no confirmation by members.
func (d *Daemon) replace(ctx context.Context, name string, content []byte, reason string) {
	next, write, err := document.Next(d.fleet.document(name), content, document.Origin{
		ChangeID: uuid.NewString(), Author: d.settings.Name, Reason: reason, At: time.Now().UTC(),
	})
	if err != nil {
		return
	}
	// A conflict or a lost answer needs no handling: the next poll reads what is there.
	if d.store.Commit(ctx, write.Conditions, write.Writes) == nil {
		d.fleet.update(func(s *exchange.State, now time.Time) { s.MergeDocument(next, now) })
		d.broadcast(ctx)
	}
}
