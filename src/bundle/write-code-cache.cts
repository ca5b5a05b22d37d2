/** The last step of `npm run bundle`; it has to run with the flags that the program is started with. */
import { writeCodeCache } from "./bundle.cjs";

writeCodeCache();
