// Package cairnbay defines the interfaces, plain data types and sentinel errors
// of the scheduler. Implementations live below internal/. Only the adapters in
// internal/platform depend on wire formats of the platform.
package cairnbay
