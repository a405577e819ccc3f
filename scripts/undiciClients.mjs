// Replaces undici in bundles and exports only its clients. The whole package would double the startup time of a
// program.
import api from "undici/lib/api/index.js";
import buildConnector from "undici/lib/core/connect.js";
import Client from "undici/lib/dispatcher/client.js";
import Dispatcher from "undici/lib/dispatcher/dispatcher.js";
import Pool from "undici/lib/dispatcher/pool.js";

Object.assign(Dispatcher.prototype, api);

export { buildConnector, Client, Pool };
