# A sample of a gateway that is linked to those of two other salas. Give each gateway its own sala's name, addresses and
# certificate; docs/SALAS.md and docs/OPERATING.md explain it. The keyring is made by: silvertrail fleet keygen > fleet.keys
process {
  zones   = ["centro"] # of this sala alone
  zone    = "centro"
  control = "silvertrail.sock"
}

link "centro" {
  listen      = "127.0.0.1:7950"
  certificate = "centro.pem" # its DNS name is the sala's: "centro"
  key         = "centro.key"
  authority   = "salas.pem" # signs the certificates of all salas

  heartbeat   = "100ms"
  silence     = "300ms" # a link that answers nothing for so long is down
  connections = 2       # to each other sala
  calls       = 1024    # taken in work from one connection

  peer "norte" {
    address = "127.0.0.1:7951"
  }
  peer "sur" {
    address = "127.0.0.1:7952"
  }
}

# One fleet over all salas: its voters hold each key to one sala.
fleet "rio-claro" {
  name    = "centro"
  listen  = "127.0.0.1:7946"
  seeds   = ["127.0.0.1:7947", "127.0.0.1:7948"]
  keyring = "fleet.keys"
  voters  = ["centro", "norte", "sur"]
}

class "consulta" {
  aim      = "2s"
  deadline = "5s"
  effect   = "safe"
}

class "reserva" {
  aim      = "2s"
  deadline = "5s"
  worth    = 10
  effect   = "keyed"
  scope    = "zone"
  window   = "60s"
}

listener "public" {
  address = "127.0.0.1:8080"
}

cluster "portal" {
  endpoint "portal-1" {
    address = "127.0.0.1:9001"
  }
  endpoint "portal-2" {
    address = "127.0.0.1:9002"
  }
}

route "seats" {
  match {
    prefix = "/seats"
  }
  class   = "consulta"
  cluster = "portal"
  cross   = ["norte", "sur"] # what the own sala can't serve may go there
}

route "confirm" {
  match {
    prefix = "/reserva"
  }
  class   = "reserva"
  cluster = "portal"
  cross   = ["norte", "sur"]
}

# Requests that other salas send are of the listener "link". This route keeps them off.
route "inner" {
  match {
    prefix    = "/inner"
    listeners = ["public"]
  }
  class   = "consulta"
  cluster = "portal"
}
