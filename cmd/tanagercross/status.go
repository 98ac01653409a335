package main

import (
	"context"
	"fmt"
	"io"
)

func status(ctx context.Context, t *tool) error {
	client, err := t.options.client()
	if err != nil {
		return err
	}
	s, err := client.Status(ctx)
	if err != nil {
		return err
	}
	return t.print(s, func(w io.Writer) {
		fmt.Fprintf(w, "instance %s in %s, %s; fresh %t, draining %t, store age %d ms\n", s.Name, s.Place, s.Region, s.Fresh, s.Draining, s.StoreAgeMS)
		fmt.Fprintf(w, "versions: roster %d, configuration %d, keys %d, groups %d\n", s.RosterVersion, s.ConfigurationVersion, s.KeysVersion, s.GroupsVersion)
		for _, m := range s.Members {
			fmt.Fprintf(w, "member %s in %s; age %d ms, leaving %t; roster %d, configuration %d, keys %d, groups %d\n", m.Name, m.Place, m.AgeMS, m.Leaving,
				m.RosterVersion, m.ConfigurationVersion, m.KeysVersion, m.GroupsVersion)
		}
		for _, g := range s.Groups {
			fmt.Fprintf(w, "group %s; term %d, primary %s, lanes held %d\n", g.Name, g.Term, g.Primary, g.Lanes)
		}
		for _, r := range s.Reads {
			fmt.Fprintf(w, "reads %s; %d by a %s, %.1f%%\n", r.Reason, r.Count, r.Role, 100*r.Share)
		}
	})
}
