package companion

// RefreshEngineState has the engine's state read soon, where something tells that the engine may
// have restarted. Only what is read counts: a false hint costs one reading. For a
// plain service it does nothing.
func (c *Companion) RefreshEngineState() { c.read() }
