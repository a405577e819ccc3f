import { Chart } from "@knapweedwood/core.charts/chart";
import type { Link } from "@knapweedwood/links.calls/link";
import definition from "../charts/link.json" with { type: "json" };
import type { LinkEvent } from "./linkEvent.js";

/** State chart of a link. */
export const linkChart = new Chart<Link["state"], LinkEvent>(definition);
