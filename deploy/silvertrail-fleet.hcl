# A sample of an instance in a fleet. Its keyring is made by: silvertrail fleet keygen > fleet.keys
# Give each instance its own name and address; all the rest is the same everywhere.
process {
  zones   = ["sala-centro", "sala-norte"]
  zone    = "sala-centro"
  control = "silvertrail.sock" # for silvertrail fleet members and fleet key; its owner alone can open it
}

fleet "rio-claro" {
  name      = "centro-1"
  listen    = "127.0.0.1:7946" # UDP and TCP
  advertise = "127.0.0.1:7946" # where the others reach it, if that is another address
  seeds     = ["127.0.0.1:7946", "127.0.0.1:7947"]
  keyring   = "fleet.keys"                         # the first key encrypts, all are understood
  voters    = ["centro-1", "centro-2", "norte-1"] # a majority of them must agree before a keyed request goes out
  members   = 32
  # views   = true                                 # who is in is decided by a majority; at all instances or at none
  # new     = true                                 # at the first start of a fleet, and never again
}

class "reserva" {
  aim      = "2s"
  deadline = "5s"
  worth    = 10
  effect   = "keyed"
  scope    = "zone"
  window   = "60s"
  keep     = "60s"
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
