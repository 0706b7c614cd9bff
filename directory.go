package track

// Directory looks up parts of the configuration in force.
type Directory interface {
	// Version returns the version of the configuration in force.
	Version() uint64
	// Confirmed reports whether the configuration in force was the newest at some time within the last
	// seconds, in which a newer one must be in force. If not, names and tokens that are unknown here may be in a
	// newer one.
	Confirmed() bool
	// Account returns the client account whose bearer token has the given
	// hexadecimal SHA-256.
	Account(tokenSHA256 string) (ClientAccount, bool)
	// Profile returns a profile by name.
	Profile(name string) (Profile, bool)
	// Model returns a model by name.
	Model(name string) (Model, bool)
	// Service returns a plain service by name.
	Service(name string) (Service, bool)
	// Models returns all models, sorted by name.
	Models() []Model
}
