package capacity

import "fmt"

// storeRows adds the rows for the load of the key-value service and for the
// time until a configuration is in force.
func (c *calculator) storeRows() {
	entries := float64(c.size.Entries)
	polls := entries / configPeriodSeconds
	changes := c.size.ConfigChangesPerDay / secondsPerDay
	c.add(Row{
		Role: "key-value service", Resource: "reads of the configuration's head", Value: polls, Unit: "reads/s", Limit: maxStoreReads,
		Calculation: fmt.Sprintf("%.0f entries, each every %d s; %d sidecars query entries", entries, configPeriodSeconds, c.size.Targets),
		Mechanism:   "sidecars read from entries", Implemented: true,
	})
	c.add(Row{
		Role: "key-value service", Resource: "reads at a change of configuration", Value: polls + entries/configPeriodSeconds, Unit: "reads/s", Limit: maxStoreReads,
		Calculation: "head and one chunk by every entry within one period",
		Mechanism:   "content-addressed chunks; an entry reads a generation once", Implemented: true,
	})
	c.add(Row{
		Role: "key-value service", Resource: "writes for configuration", Value: changes * 3, Unit: "writes/s", Limit: maxStoreWrites,
		Calculation: fmt.Sprintf("%.2g changes/s × (chunk, stored head, head)", changes),
		Mechanism:   "one compare-and-swap of the head", Implemented: true,
	})
	c.add(Row{
		Role: "configuration", Resource: "time until in force everywhere", Value: 2 * configPeriodSeconds, Unit: "s", Limit: maxConfigSeconds,
		Calculation: "one period at the entries, one at the sidecars",
		Mechanism:   "periodic reading; peers when the service fails", Implemented: true,
	})
	c.failureRows()
}

// failureRows adds the rows for owner changes that are caused by failures of
// VMs and of failure domains.
func (c *calculator) failureRows() {
	slots := c.size.slotsPerEntry()
	share := float64(c.size.Entries) / float64(c.size.Entries+c.size.Targets)
	daily := (c.size.VMFailuresPerDay + c.size.VMRestartsPerDay) * share
	c.add(Row{
		Role: "key-value service", Resource: "owner changes on an ordinary day", Value: daily * slots / secondsPerDay, Unit: "writes/s", Limit: maxStoreWrites,
		Calculation: fmt.Sprintf("%.0f entries lost or restarted a day × %.0f slots each", daily, slots),
		Mechanism:   "one key a slot, so that no two changes contend", Implemented: true,
	})
	rack := rackVMs * share * slots
	c.add(Row{
		Role: "key-value service", Resource: "owner changes after a rack", Value: rack / maxStoreWrites, Unit: "s of the service's writes",
		Calculation: fmt.Sprintf("%.0f entries × %.0f slots at %d writes/s", rackVMs*share, slots, maxStoreWrites),
		Mechanism:   "living members continue under a fresh rank meanwhile", Implemented: true,
	})
	domain := float64(c.size.Entries) / float64(c.size.Domains) * slots
	c.add(Row{
		Role: "key-value service", Resource: "owner changes after a failure domain", Value: domain / maxStoreWrites, Unit: "s of the service's writes",
		Calculation: fmt.Sprintf("%.0f entries × %.0f slots at %d writes/s", float64(c.size.Entries)/float64(c.size.Domains), slots, maxStoreWrites),
		Mechanism:   "the same; members stand in three domains, so two copies live", Implemented: true,
	})
}
