// Stands in for undici in bundles: only its clients, since the rest of the package doubles the time a program takes to start.
import api from "undici/lib/api/index.js";
import Client from "undici/lib/dispatcher/client.js";
import Dispatcher from "undici/lib/dispatcher/dispatcher.js";
import Pool from "undici/lib/dispatcher/pool.js";

Object.assign(Dispatcher.prototype, api);

export { Client, Pool };
