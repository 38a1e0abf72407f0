package placement

import "time"

// Utilisation returns the estimated fraction of all slots in use.
func (c *Chooser) Utilisation(now time.Time) float64 { return c.utilisation(now) }
