// Package deploy holds how operators build and start the pilot and the adapter: balancer.toml. It has no code; its tests
// check what the file builds.
package deploy
