package deployment
import ("testing";"context";"time";"log/slog";"os";"bytes";"net/http";"io";"tanagercross/internal/instance/operator")
func TestUp(t *testing.T){
 ctx,c:=context.WithTimeout(context.Background(),20*time.Second); defer c()
 log:=slog.New(slog.NewJSONHandler(os.Stderr,&slog.HandlerOptions{Level:slog.LevelInfo}))
 t0:=time.Now()
 d,err:=Start(ctx,Mutirao().WithInstances(3).WithGroups(1),log)
 if err!=nil{t.Fatal(err)}
 defer d.Stop()
 t.Log("ready",time.Since(t0))
 k,err:=d.Operator(0).IssueKey(ctx,operator.IssueRequest{Organisation:"sertao_coop",Author:"ana"})
 t.Log("key",time.Since(t0),err)
 do:=func(i int, body, tok string) string {
  r,_:=http.NewRequest("POST",d.CallerURLs()[i]+"/v1/groups/meals-1/statements",bytes.NewBufferString(body))
  r.Header.Set("x-api-key",k.Key); if tok!=""{r.Header.Set("x-session-token",tok)}; r.Header.Set("content-type","application/json")
  s:=time.Now(); resp,err:=http.DefaultClient.Do(r); if err!=nil{t.Fatal(err)}
  b,_:=io.ReadAll(resp.Body); resp.Body.Close(); t.Log(resp.StatusCode,time.Since(s),string(b)); return resp.Header.Get("x-session-token") }
 do(0,`{"mode":"write","sql":"create table t(a int)"}`,"")
 time.Sleep(8*time.Second)
 do(0,`{"mode":"write","sql":"create table t(a int)"}`,"")
 do(1,`{"mode":"write","sql":"insert into t values(1)"}`,"")
 do(2,`{"mode":"read","sql":"select * from t"}`,"")
}
