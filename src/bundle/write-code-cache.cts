/** The last step of `npm run bundle`. It must run with the Node.js flags that the program is started with. */
import { writeCodeCache } from "./bundle.cjs";

writeCodeCache();
