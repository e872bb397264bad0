package placer

// weights returns the version of a model's weights that the backend server has loaded, or 0 if it
// is unknown. An empty name means the only model.
func (b *backend) weights(model string) uint64 {
	if model != "" && model != b.member.Spec.BaseModel {
		return 0
	}
	return b.member.Spec.Weights
}

// sharesWeights reports whether two engines are known to have the same version of a model's
// weights. A KV cache made with one version must not be used with another.
func (b *backend) sharesWeights(other *backend, model string) bool {
	w := b.weights(model)
	return w != 0 && w == other.weights(model)
}
