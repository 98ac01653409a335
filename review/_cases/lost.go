package main

import (
	"fmt"
	"slices"
)

// checkLost reports whether a server was promoted whose log lacks a commit that a client had as acknowledged. Commits that an
// earlier promotion dropped count there only.
func checkLost(d *deployment) int {
	d.group.mu.Lock()
	promotions := slices.Clone(d.group.promotions)
	d.group.mu.Unlock()
	d.clients.mu.Lock()
	defer d.clients.mu.Unlock()
	fmt.Println("answers to writes, by code:", d.clients.outcomes)
	d.record.printf("answers to writes, by code: %v", d.clients.outcomes)
	code := held
	known := map[string]bool{} // commits of terms after the promotions seen
	for n, p := range promotions {
		has := map[string]bool{}
		for _, c := range p.log {
			has[c.id] = true
		}
		var lost []string
		for id, at := range d.clients.acknowledged {
			if !has[id] && !known[id] && at.Before(p.at) {
				lost = append(lost, id)
				known[id] = true
			}
		}
		slices.Sort(lost)
		line := fmt.Sprintf("promotion %d: %s by %s with token %d; acknowledged commits that its log lacks: %d", n+1, p.server, p.holder, p.token, len(lost))
		fmt.Println(line)
		d.record.printf("%s %v", line, lost[:min(len(lost), 20)])
		if len(lost) > 0 {
			code = broken
		}
	}
	return code
}
