// Package deploy contains balancer.toml, the commands by which operators build and start the pilot and the adapter. It
// has no code; its tests check the programs that these commands build.
package deploy
