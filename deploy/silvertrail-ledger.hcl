# A sample of an instance that keeps a ledger of its keyed requests. Its directory must be on a disk that lasts, and belongs to
# this instance alone.
process {
  zones   = ["sala-centro", "sala-norte"]
  zone    = "sala-centro"
  control = "silvertrail.sock" # for silvertrail ledger status
}

ledger {
  path        = "ledger"
  mode        = "group"  # durable before an attempt goes out; "each": before the answer too; "os": written, which a lost machine may undo
  gather      = "3ms"    # that an fsync waits for others at the most
  patience    = "100ms"  # of one write or fsync; beyond it the disk is not counted on
  segment     = "64MiB"
  held        = "4MiB"   # of records in memory that are not durable yet
  size        = "4GiB"   # kept to, but for segments that keys still need
  age         = "720h"
  names       = "plain"  # "hashed": keys and tenants as hashes under a secret
  # secret    = "ledger.secret"
  lost        = "hold"   # keys that records which are lost may have told of fail until they would be forgotten; "serve": they are served
  clock_error = "10s"    # that the time of day may be off between two starts of the machine
}

class "reserva" {
  aim        = "2s"
  deadline   = "5s"
  worth      = 10
  effect     = "keyed"
  scope      = "zone"
  window     = "60s"
  keep       = "60s"
  unrecorded = "refuse" # 503 at once where the ledger can't record it; "serve": served, counted and logged
}

class "consulta" {
  aim      = "300ms"
  deadline = "2s"
  effect   = "safe" # never waits for the disk
}

listener "public" {
  address = "127.0.0.1:8080"
}

cluster "portal" {
  endpoint "portal-1" {
    address = "127.0.0.1:9001"
    zone    = "sala-centro"
  }
  endpoint "portal-2" {
    address = "127.0.0.1:9002"
    zone    = "sala-norte"
  }
}

route "confirm" {
  match {
    prefix = "/reserva"
  }
  class   = "reserva"
  cluster = "portal"
}

route "look" {
  class   = "consulta"
  cluster = "portal"
}
