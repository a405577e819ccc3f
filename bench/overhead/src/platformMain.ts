import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import { InstanceListServer } from "@knapweedwood/standins.instance-list/instanceListServer";
import { KeyValueServer } from "@knapweedwood/standins.key-value/keyValueServer";
import type { PlatformSettings } from "./platformSettings.js";
import { readChildSettings } from "./readChildSettings.js";

const HOST = "127.0.0.1";
const LIST_LAG_MS = 100;
const LIST_TTL_MS = 60_000;

const settings = readChildSettings<PlatformSettings>();
const clock = new SystemClock();
await new KeyValueServer({ clock }).listen({ host: HOST, port: settings.keyValuePort });
await new InstanceListServer({ clock, lagMs: LIST_LAG_MS, ttlMs: LIST_TTL_MS })
    .listen({ host: HOST, port: settings.instanceListPort });
