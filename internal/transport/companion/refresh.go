package companion

// RefreshEngineState requests an early read of the engine's state; call it on signs that
// the engine has restarted. A false alarm costs one read. It does not block, and has no
// effect for a plain service.
func (c *Companion) RefreshEngineState() { c.requestRefresh() }
