package route

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/group"
)

// BenchmarkRoute measures the choice of a server for a session read, and heap-B/server, the memory of the group table:
//
//	go test -run '^$' -bench Route ./internal/session/route
func BenchmarkRoute(b *testing.B) {
	for _, groups := range []int{3, 1733} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			table, now := group.NewTable(), time.Now()
			var list []group.Group
			for g := range groups {
				one := group.Group{Name: fmt.Sprintf("meals-%d", g)}
				for s := range 3 {
					one.Servers = append(one.Servers, driver.Server{
						Name: fmt.Sprintf("meals-%d-%c", g, 'a'+s), Group: one.Name, Place: fmt.Sprintf("p%d", s),
						Address: fmt.Sprintf("10.1.%d.%d:5432", g/250, g%250), Slots: 2, ConnectionLimit: 35,
					})
				}
				list = append(list, one)
			}
			table.SetGroups(list)
			for step := range 100 { // fills the marks
				at := now.Add(time.Duration(step-99) * 100 * time.Millisecond)
				for _, g := range list {
					for i, s := range g.Servers {
						role := driver.Replica
						if i == 0 {
							role = driver.Primary
						}
						table.ObserveStatus(driver.Status{
							Server: s.Name, Role: role, Term: 3, Last: driver.Position{Term: 3, Index: uint64(100 * step)}, Primary: g.Servers[0].Name,
						}, at, at)
					}
				}
			}
			list = nil
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			read := Read{AtLeast: driver.Position{Term: 3, Index: 9000}, Place: "p1", Started: now}
			for b.Loop() {
				state, _ := table.View().Group("meals-2")
				if _, ok := ChooseRead(state, read, now).(Serve); !ok {
					b.Fatal("no server")
				}
			}
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(3*groups), "heap-B/server")
		})
	}
}
