package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

func init() { scenarios["moved-key"] = movedKey }

const (
	configBound    = 4 * time.Second // configMs of the sites
	newTenant      = "dade490"
	statementPause = time.Second // below transactionIdleMs
	statements     = 11          // of the transaction, its end not counted
)

// withTenantOfKey returns the configuration in which a tenant holds the key of the clients.
func withTenantOfKey(version int, tenant string) []byte {
	var c map[string]any
	_ = json.Unmarshal(operatorConfiguration(version, 0), &c)
	tenants := []map[string]any{}
	for _, name := range []string{tenantName, newTenant} {
		keys := []string{"j8pjbvk9m68k7b2ex5wa-" + name}
		if name == tenant {
			keys = append(keys, keyOfTenant)
		}
		tenants = append(tenants, map[string]any{"name": name, "apiKeys": keys, "priority": 1, "ratePerS": rateOfTenant, "burst": rateOfTenant})
	}
	c["tenants"] = tenants
	value, _ := json.Marshal(c)
	return value
}

// movedKey moves the key of a connected client to another tenant while the client's transaction is open. Statements that
// the client sends later than the bound of configuration must not run for the tenant that lost the key.
func movedKey(d *deployment, trouble bool) error {
	d.store.put("op", "config", withTenantOfKey(7, tenantName))
	zones := []string{"agreste-a", "sertao-a", "litoral-a"}
	g, err := d.addGroup(serviceName, 0, zones...)
	if err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	for _, zone := range zones {
		if _, err := d.addDaemon("front-"+zone+"-1", zone); err != nil {
			return fmt.Errorf("%w: %w", errCannotRun, err)
		}
	}
	if err := d.awaitReady(); err != nil {
		return err
	}
	time.Sleep(quietBefore)
	c, err := connect(d.record, "c1", d.daemons[0].front, databaseName, keyOfTenant)
	if err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	defer c.close()
	if a, err := c.query("BEGIN"); err != nil || !a.ok() {
		return fmt.Errorf("%w: BEGIN: %s %w", errCannotRun, a.end, err)
	}
	var acknowledged time.Time
	for n := range statements {
		sent := time.Now()
		a, err := c.query(fmt.Sprintf("WRITE 1a4 plates%d", n))
		if err != nil || strings.Contains(a.end, "NOAUTH") || strings.Contains(a.end, "ABORTED") {
			d.record.notef("the transaction is over after %d statements", n)
			break
		}
		if n == 0 && trouble {
			d.store.put("op", "config", withTenantOfKey(8, newTenant))
			acknowledged = time.Now()
			d.record.notef("version 8 is acknowledged: the key is now that of %s", newTenant)
		}
		ran := g.tenantOf(c.lastID)
		if a.ok() && trouble && n > 0 && sent.Sub(acknowledged) > configBound && ran == tenantName {
			d.record.breakf("UNASKED, CONFIG: statement %s, sent %.1f s after the acknowledgement, ran for %s, which no longer holds the key",
				c.lastID, sent.Sub(acknowledged).Seconds(), ran)
		}
		time.Sleep(statementPause)
	}
	_, _ = c.query("COMMIT")
	if ran := g.tenantOf(c.lastID); ran != "" {
		d.record.notef("the commit ran for %s", ran)
	}
	return nil
}
