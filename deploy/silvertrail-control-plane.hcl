# A sample of a control machine: it keeps clusters and endpoint sets, tells them to the other control machines, and sends each sidecar
# what it follows. The program must be built with the tag xds: go build -tags xds -o bin/ ./cmd/silvertrail. A gateway follows it by
# the plane blocks of its xds block (deploy/silvertrail-xds.hcl). docs/CONTROL-PLANE.md explains it.
#
#   silvertrail control publish --config control-1.hcl clusters.json
#   silvertrail control publish --config control-1.hcl --remove cluster/portal
#   silvertrail control status --config control-1.hcl
process {
  control = "control-1.sock"
}

control_plane {
  name        = "control-1"      # part of the versions that this machine gives; no two machines share one
  listen      = "127.0.0.1:18000"
  certificate = "control-1.pem"
  key         = "control-1.key"
  authority   = "planes.pem"      # who connects shows a certificate of this authority
  state       = "control-1.state" # all that was published: written before it is sent
  pace        = "10MiB"           # a second of first states, when many come at once; changes go past them
  subscribers = 2048              # those beyond it are turned away, and go to another plane of theirs
  settle      = "3s"              # for which the peers are waited for at the start

  peer "control-2" { # each machine names all others, as they name themselves
    address     = "127.0.0.1:18001"
    authority   = "planes.pem"
    certificate = "control-1.pem"
    key         = "control-1.key"
    host        = "control-2.example"
  }
}
