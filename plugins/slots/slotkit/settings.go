package slotkit

// SetDefault gives a setting that is zero its default.
func SetDefault[T comparable](setting *T, value T) {
	var zero T
	if *setting == zero {
		*setting = value
	}
}
