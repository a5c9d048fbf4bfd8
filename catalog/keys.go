package catalog

// KeyCount returns how many keys an account holds.
func (c *Config) KeyCount(account string) int {
	n := 0
	for _, holder := range c.accountByKey {
		if holder.Name == account {
			n++
		}
	}
	return n
}

// LostKeys returns how many keys of an account in c are held by nobody, or by another account,
// in next.
func (c *Config) LostKeys(account string, next *Config) int {
	n := 0
	for digest, holder := range c.accountByKey {
		if holder.Name != account {
			continue
		}
		if later := next.accountByKey[digest]; later == nil || later.Name != account {
			n++
		}
	}
	return n
}
